"""A fake store in virtual time that daemons are cut off from for a while."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from attrs import define, field, frozen

from geraniumshelf_core.errors import (
    PlatformConnectionLost,
    PlatformError,
    ResultCode,
)
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.eras import StoreEras
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    Record,
    RecordKind,
    RecordSet,
)

# Network delay of a message in one direction.
DELAY_S = 0.01
# Timeouts of the platform adapter.
_MIN_TIMEOUT_S = 2.0
_RESPONSE_MARGIN_S = 0.8


def clock() -> Nanoseconds:
    """Return the virtual time."""
    return round(asyncio.get_running_loop().time() * SECOND_NS)


@define(eq=False)
class SharedStore:
    """Objects in the store and the history of their changes.

    Attributes:
        revision: Revision of the newest change.
        revisions: Revision of the last change of each object.
        records: The objects by kind and name.
        events: Changes since the history was dropped.
        changed: Set at the next change.
        compacted_revision: Revision up to which the history was dropped.
    """

    revision: int = 1
    revisions: dict[tuple[RecordKind, str], int] = field(factory=dict)
    records: dict[RecordKind, dict[str, Record]] = field(factory=dict)
    events: list[tuple[int, RecordKind, str, Record | None]] = field(
        factory=list
    )
    changed: asyncio.Event = field(factory=asyncio.Event)
    compacted_revision: int = 0

    def put(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Write an object, or remove it."""
        self.revision += 1
        held = self.records.setdefault(kind, {})
        if record is None:
            held.pop(name, None)
        else:
            held[name] = record
        self.revisions[kind, name] = self.revision
        self.events.append((self.revision, kind, name, record))
        self.wake_watches()

    def drop_history(self) -> None:
        """Drop all past changes; watches of older ones must list again."""
        self.revision += 1
        self.compacted_revision = self.revision
        self.events.clear()
        self.wake_watches()

    def last_change(self, kind: RecordKind) -> StoreRevision:
        """Return the revision of the newest object of a kind."""
        held = self.records.get(kind, {})
        number = max((self.revisions[kind, name] for name in held), default=0)
        return StoreRevision(0, number)

    def wake_watches(self) -> None:
        """Let pending watches look for changes and failures."""
        self.changed.set()
        self.changed = asyncio.Event()


@frozen
class SentWatch:
    """A watch that a daemon has sent.

    Attributes:
        kind: Kind of the watched objects.
        sent_at: Time at which it was sent, seconds.
        wait_s: How long it may wait for a change, seconds.
    """

    kind: RecordKind
    sent_at: float
    wait_s: float


@define(eq=False)
class StorePath:
    """Connection of one daemon to the store; implements ``PlatformStore``.

    Attributes:
        store: The store.
        cuts: Begin and end of each time in which the store is unreachable,
            seconds; calls in flight at such a time get no response.
        eras: Eras of the store that this daemon has seen.
        silenced_at: Time before which watches were sent that get no response,
            by kind, seconds.
        reset_at: The same of watches whose connections are reset.
        watches: The watches that this daemon has sent.
    """

    store: SharedStore
    cuts: tuple[tuple[float, float], ...] = ()
    eras: StoreEras = field(factory=lambda: StoreEras(clock))
    silenced_at: dict[RecordKind, float] = field(factory=dict)
    reset_at: dict[RecordKind, float] = field(factory=dict)
    watches: list[SentWatch] = field(factory=list)

    def silence(self, *kinds: RecordKind) -> None:
        """Let the watches in flight get no response."""
        self.silenced_at.update(dict.fromkeys(kinds, self._time()))

    def reset(self, *kinds: RecordKind) -> None:
        """Reset the connections of the watches in flight."""
        self.reset_at.update(dict.fromkeys(kinds, self._time()))
        self.store.wake_watches()

    async def list_records(
        self, kind: RecordKind, *, allow_stale: bool = False
    ) -> RecordSet:
        """Return all objects of a kind."""
        await self._call(lambda: asyncio.sleep(0), _MIN_TIMEOUT_S)
        held = self.store.records.get(kind, {})
        return RecordSet(self._now(), dict(held), self.store.last_change(kind))

    async def watch_records(
        self,
        kind: RecordKind,
        after: StoreRevision,
        wait_s: float,
        on_response_start: Callable[[], None],
    ) -> RecordSet:
        """Return the changes after a revision, once there are any."""
        sent_at = self._time()
        self.watches.append(SentWatch(kind, sent_at, wait_s))
        timeout_s = max(wait_s + _RESPONSE_MARGIN_S, _MIN_TIMEOUT_S)
        await self._call(lambda: self._wait(kind, after, wait_s), timeout_s)
        if sent_at < self.silenced_at.get(kind, 0):
            await asyncio.sleep(max(0, sent_at + timeout_s - self._time()))
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'no response')
        if sent_at < self.reset_at.get(kind, 0):
            raise PlatformConnectionLost(
                ResultCode.PLATFORM_UNREACHABLE, 'reset'
            )
        on_response_start()
        if after.number < self.store.compacted_revision:
            raise PlatformError(ResultCode.WATCH_TOO_OLD, 'history dropped')
        found = self._changes(kind, after)
        return RecordSet(self._now(), found, self._now())

    async def register(self, instance: ListedInstance) -> None:
        """Fail, as no daemon of these tests registers itself."""
        raise AssertionError(instance)

    async def _call(
        self, step: Callable[[], Awaitable[None]], timeout_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(DELAY_S)
        if not self._is_cut(begun, loop.time()):
            await step()
            await asyncio.sleep(DELAY_S)
        if self._is_cut(begun, loop.time()):
            await asyncio.sleep(max(0, begun + timeout_s - loop.time()))
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'no response')

    async def _wait(
        self, kind: RecordKind, after: StoreRevision, wait_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        end = begun + wait_s
        while loop.time() < end:
            if self._changes(kind, after) or self._has_failed(
                kind, after, begun
            ):
                return
            try:
                async with asyncio.timeout_at(end):
                    await self.store.changed.wait()
            except TimeoutError:
                return

    def _has_failed(
        self, kind: RecordKind, after: StoreRevision, begun: float
    ) -> bool:
        is_reset = begun < self.reset_at.get(kind, 0)
        return is_reset or after.number < self.store.compacted_revision

    def _changes(
        self, kind: RecordKind, after: StoreRevision
    ) -> Mapping[str, Record | None]:
        return {
            name: record
            for at, held, name, record in self.store.events
            if held is kind and at > after.number
        }

    def _is_cut(self, begin: float, end: float) -> bool:
        return any(
            cut < end and begin < restored_at for cut, restored_at in self.cuts
        )

    def _time(self) -> float:
        return asyncio.get_running_loop().time()

    def _now(self) -> StoreRevision:
        return StoreRevision(0, self.store.revision)
