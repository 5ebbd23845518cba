"""Follows one kind of object in the platform's store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Final, Protocol

from attrs import frozen

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.history.eras import (
    SETTLING_NS,
    EraState,
    StoreRevision,
    advance_era,
)
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.interface import SiteKind, SiteStore, SiteView
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.observability.events import Event, log_event

# A watch that failed is asked again after this time, or as soon as the store
# has answered a probe.
_PAUSE_S: Final = 1.0
# A watch that fails is asked again without a pause if it has not failed for
# this time; one that is cut again and again pauses.
_CALM_NS: Final[Nanoseconds] = 2 * SECOND_NS
# A change that others know of may still be on its way to this daemon, over a
# link that large changes fill. The bounds are 2 s and more.
_LATE_NS: Final[Nanoseconds] = SECOND_NS
# An answer that was due comes within this time.
_OVERDUE_NS: Final[Nanoseconds] = SECOND_NS
# A renewed watch asks for a change that the store has, and one after a failure
# whether it answers.
_NO_WAIT_S: Final = 0


class RecordSink(Protocol):
    """Takes what was found."""

    def replace(self, view: SiteView, now: Nanoseconds) -> None:
        """Take over all objects of the kind."""

    def change(self, view: SiteView, now: Nanoseconds) -> None:
        """Take over changes."""


@frozen
class WatchRules:
    """Decisions about watches.

    Attributes:
        wait: Returns how long a watch may wait, from the current time.
        is_prober: Returns whether this daemon probes a store in trouble often.
        gather: Returns the time of which changes are fetched together.
    """

    wait: Callable[[Nanoseconds], Nanoseconds]
    is_prober: Callable[[], bool]
    gather: Callable[[], Nanoseconds]


class Watcher:
    """Lists and then watches one kind, and starts again when that fails."""

    def __init__(
        self,
        store: SiteStore,
        kind: SiteKind,
        sink: RecordSink,
        reach: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        rules: WatchRules,
    ) -> None:
        """Prepare to follow a kind.

        Args:
            store: The platform's store.
            kind: What to follow.
            sink: Takes what was found.
            reach: Takes whether the store answers.
            clock: Returns the current time, nanoseconds.
            random: Spreads the calls of the daemons.
            rules: Decisions about watches.
        """
        self._rules = rules
        self._store = store
        self._kind = kind
        self._sink = sink
        self._reach = reach
        self._clock = clock
        self._random = random
        self._revision: StoreRevision | None = None
        self._changed_at = StoreRevision()
        self._eras = EraState()
        # Time of the list that ends the settling of a new era.
        self._settles_at: Nanoseconds | None = None
        self._confirmed_at: Nanoseconds | None = None
        self._asked_at: Nanoseconds = 0
        self._missed_at: Nanoseconds | None = None
        self._lost_at: Nanoseconds = -_CALM_NS
        self._call: asyncio.Future[SiteView] | None = None
        self._is_renewed = False
        self._is_dropped = False
        self._may_retry = asyncio.Event()
        # Whether the answer of the call has begun to arrive.
        self._is_answered = False
        self._is_lost = False

    @property
    def confirmed_at(self) -> Nanoseconds | None:
        """Return when the store last told that all changes are known."""
        return self._confirmed_at

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call failed."""
        return self._is_lost

    @property
    def seen(self) -> StoreRevision:
        """Return the revision up to which all changes are known."""
        return self._revision or StoreRevision()

    @property
    def changed_at(self) -> StoreRevision:
        """Return the revision of the last change."""
        return self._changed_at

    async def run(self) -> None:
        """Follow the kind until the task is cancelled."""
        while True:
            try:
                await self._step()
            except PlatformError as error:
                await self._recover(error)

    def renew(self, now: Nanoseconds) -> None:
        """Ask again soon: others know of a change that is not here yet.

        A long answer that has begun to arrive is not dropped, and a renewed
        watch is left to its own time limit; otherwise it may never arrive.
        """
        if self._missed_at is None:
            self._missed_at = now
        if now - self._missed_at > _LATE_NS and not self._is_renewed:
            self._drop_call()

    def check(self, now: Nanoseconds) -> None:
        """Ask again if the watch has waited longer than it may now.

        The daemons that it relied on may have been lost, or cut off with this
        one, since it began to wait.
        """
        longest = self._rules.wait(now) + _OVERDUE_NS
        if now - self._asked_at > longest and not self._is_renewed:
            self._drop_call()

    def retry(self, answered: Nanoseconds) -> None:
        """Ask again at once: the store has answered another call.

        A call that was asked before that one, and is not answered yet, is lost.

        Args:
            answered: Time at which the answered call was asked.
        """
        self._may_retry.set()
        if self._asked_at < answered:
            self._drop_call()

    def _drop_call(self) -> None:
        if self._call is not None and not self._is_answered:
            self._is_dropped = True
            self._call.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            asked_at = self._clock()
            view = await self._store.list_records(self._kind)
            now = self._clock()
            self._note_era(view.revision.era, now)
            self._reach.note_answer(view.revision.era, now)
            self._sink.replace(view, now)
            self._note_confirmed(view, asked_at)
            return
        found = await self._watch(self._revision)
        now = self._clock()
        if found is not None:
            self._reach.note_answer(found.revision.era, now)
        if self._settles_at is not None and now >= self._settles_at:
            self._settles_at = None
            self._revision = None
            return
        if found is None:
            return
        if found.records:
            self._changed_at = max(self._changed_at, found.last_change_revision)
            self._sink.change(found, now)
        self._note_confirmed(found, now)
        if found.records:
            await asyncio.sleep(ns_to_seconds(self._rules.gather()))

    def _note_era(self, era: int, now: Nanoseconds) -> None:
        if advance_era(self._eras, era):
            # A list that lacks what was written again is read once more.
            self._settles_at = now + SETTLING_NS

    def _note_confirmed(self, view: SiteView, at: Nanoseconds) -> None:
        if self._is_lost:
            self._is_lost = False
            last = at if self._confirmed_at is None else self._confirmed_at
            log_event(
                Event.PLATFORM_FOUND,
                self._kind.value,
                away_ms=(at - last) // MILLISECOND_NS,
            )
        self._revision = view.revision
        self._confirmed_at = at
        self._missed_at = None

    async def _watch(self, revision: StoreRevision) -> SiteView | None:
        """Return the changes after a revision, ``None`` to ask again."""
        wait_s = self._wait_s()
        self._asked_at = self._clock()
        self._call = asyncio.ensure_future(
            self._store.watch_records(
                self._kind, revision, wait_s, self._note_begun
            )
        )
        try:
            found = await self._call
        except asyncio.CancelledError:
            if not self._is_dropped or _is_stopped():
                raise
            self._is_renewed = True
            log_event(
                Event.WATCH_RESTARTED,
                self._kind.value,
                revision=revision.number,
            )
            return None
        except PlatformError:
            self._is_renewed = False
            raise
        finally:
            self._call = None
            self._is_dropped = False
            self._is_answered = False
        self._is_renewed = False
        return found

    def _note_begun(self) -> None:
        self._is_answered = True

    def _wait_s(self) -> float:
        if self._is_renewed or self._is_lost:
            return _NO_WAIT_S
        now = self._clock()
        wait_s = ns_to_seconds(self._rules.wait(now))
        if self._settles_at is not None:
            left = max(0, self._settles_at - now)
            wait_s = min(wait_s, ns_to_seconds(left))
        return wait_s

    async def _recover(self, error: PlatformError) -> None:
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, self._kind.value)
            self._revision = None
            return
        self._reach.note_failure()
        now = self._clock()
        if not self._is_lost:
            self._is_lost = True
            log_event(Event.PLATFORM_LOST, error.detail)
            if now - self._lost_at >= _CALM_NS:
                # Its connection may have been lost, and a new one may work.
                self._lost_at = now
                return
        self._may_retry.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(_PAUSE_S * (1 + self._random.random())):
                await self._may_retry.wait()


def _is_stopped() -> bool:
    """Return whether the task itself was cancelled, not only its call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
