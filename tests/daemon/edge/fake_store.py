"""A fake store in virtual time that daemons are cut off from for a while."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from attrs import define, field

from geraniumshelf_core.errors import PlatformError, ResultCode
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
    """Objects in the store and the history of their changes."""

    revision: int = 1
    records: dict[RecordKind, dict[str, Record]] = field(factory=dict)
    events: list[tuple[int, RecordKind, str, Record | None]] = field(
        factory=list
    )
    changed: asyncio.Event = field(factory=asyncio.Event)

    def put(self, kind: RecordKind, name: str, record: Record | None) -> None:
        """Write an object, or remove it."""
        self.revision += 1
        held = self.records.setdefault(kind, {})
        if record is None:
            held.pop(name, None)
        else:
            held[name] = record
        self.events.append((self.revision, kind, name, record))
        self.changed.set()
        self.changed = asyncio.Event()


@define(eq=False)
class StorePath:
    """Connection of one daemon to the store; implements ``PlatformStore``.

    Attributes:
        store: The store.
        cuts: Begin and end of each time in which the store is unreachable,
            seconds; calls in flight at such a time get no response.
        eras: Eras of the store that this daemon has seen.
    """

    store: SharedStore
    cuts: tuple[tuple[float, float], ...] = ()
    eras: StoreEras = field(factory=lambda: StoreEras(clock))

    async def list_records(
        self, kind: RecordKind, *, allow_stale: bool = False
    ) -> RecordSet:
        """Return all objects of a kind."""
        await self._call(lambda: asyncio.sleep(0), _MIN_TIMEOUT_S)
        held = self.store.records.get(kind, {})
        return RecordSet(self._now(), dict(held))

    async def watch_records(
        self,
        kind: RecordKind,
        after: StoreRevision,
        wait_s: float,
        on_response_start: Callable[[], None],
    ) -> RecordSet:
        """Return the changes after a revision, once there are any."""
        timeout_s = max(wait_s + _RESPONSE_MARGIN_S, _MIN_TIMEOUT_S)
        await self._call(lambda: self._wait(kind, after, wait_s), timeout_s)
        on_response_start()
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
        end = loop.time() + wait_s
        while not self._changes(kind, after) and loop.time() < end:
            try:
                async with asyncio.timeout_at(end):
                    await self.store.changed.wait()
            except TimeoutError:
                return

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

    def _now(self) -> StoreRevision:
        return StoreRevision(0, self.store.revision)
