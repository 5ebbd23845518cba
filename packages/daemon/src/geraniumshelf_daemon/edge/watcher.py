"""Watches one kind of object in the platform's store."""

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
from geraniumshelf_daemon.edge.interface import (
    PlatformStore,
    RecordKind,
    RecordSet,
)
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.observability.events import Event, log_event

# A failed watch is retried after this time, or once a probe has a response.
_RETRY_DELAY_S: Final = 1.0
# A failed watch is retried without delay only once in this time.
_FAST_RETRY_INTERVAL_NS: Final[Nanoseconds] = 2 * SECOND_NS
# A change that others know of may still be on its way to this daemon, over a
# link that large changes fill. The limits on its delay are 2 s and more.
_MAX_DELAY_NS: Final[Nanoseconds] = SECOND_NS
# The store responds within this time after the wait of a watch has ended.
_RESPONSE_MARGIN_NS: Final[Nanoseconds] = SECOND_NS
# Renewed watches fetch known changes; those after a failure test the store.
_NO_WAIT_S: Final = 0


class RecordSink(Protocol):
    """Receives the objects of one kind."""

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the full list of objects."""

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply changed and removed objects."""


@frozen
class WatchRules:
    """Timeouts and intervals of watches.

    Attributes:
        watch_timeout: Returns how long a watch may wait at a given time.
        is_prober: Returns whether this daemon often probes a failing store.
        batch_interval: Returns the time whose changes are fetched together.
        is_behind: Returns whether another daemon knows of a newer change, for
            the index of the kind in ``changes`` of a heartbeat and the revision
            up to which all changes are known here.
        max_list_age: Returns how long a list counts as current after the store
            has responded.
    """

    watch_timeout: Callable[[Nanoseconds], Nanoseconds]
    is_prober: Callable[[], bool]
    batch_interval: Callable[[], Nanoseconds]
    is_behind: Callable[[int, StoreRevision], bool]
    max_list_age: Callable[[], Nanoseconds]


class Watcher:
    """Lists and then watches one kind, and retries when that fails.

    Args:
        store: The platform's store.
        kind: Kind of the objects to follow.
        sink: Receives the objects.
        availability: Receives whether the store responds.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not call at the same time.
        rules: Timeouts and intervals of watches.
    """

    def __init__(
        self,
        store: PlatformStore,
        kind: RecordKind,
        sink: RecordSink,
        availability: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        rules: WatchRules,
    ) -> None:
        self._rules = rules
        self._store = store
        self._kind = kind
        self._sink = sink
        self._availability = availability
        self._clock = clock
        self._random = random
        self._revision: StoreRevision | None = None
        self._last_change = StoreRevision()
        self._eras = EraState()
        # Time of the list that is read once a new era has settled.
        self._relist_at: Nanoseconds | None = None
        self._confirmed_at: Nanoseconds | None = None
        self._watch_started_at: Nanoseconds = 0
        self._outdated_since: Nanoseconds | None = None
        self._fast_retry_at: Nanoseconds = -_FAST_RETRY_INTERVAL_NS
        self._call: asyncio.Future[RecordSet] | None = None
        self._is_renewed = False
        self._is_call_dropped = False
        self._may_retry = asyncio.Event()
        self._has_response_begun = False
        self._is_disconnected = False

    @property
    def confirmed_at(self) -> Nanoseconds | None:
        """Return when the store last confirmed that no change is missing."""
        return self._confirmed_at

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call failed."""
        return self._is_disconnected

    @property
    def watch_started_at(self) -> Nanoseconds:
        """Return the time at which the last watch was sent."""
        return self._watch_started_at

    @property
    def seen_revision(self) -> StoreRevision:
        """Return the revision up to which all changes are known."""
        return self._revision or StoreRevision()

    @property
    def last_change(self) -> StoreRevision:
        """Return the revision of the last change."""
        return self._last_change

    async def run(self) -> None:
        """Follow the kind until the task is cancelled."""
        while True:
            try:
                await self._step()
            except PlatformError as error:
                await self._recover(error)

    def renew(self, now: Nanoseconds) -> None:
        """Renew the watch if a change known elsewhere does not arrive soon.

        A call is not dropped once its response has begun to arrive or if it is
        a renewal; otherwise a long response might never arrive.
        """
        if self._outdated_since is None:
            self._outdated_since = now
        if now - self._outdated_since > _MAX_DELAY_NS and not self._is_renewed:
            self._drop_call()

    def renew_overdue(self, now: Nanoseconds) -> None:
        """Renew the watch if it has waited longer than it may now.

        The daemons whose heartbeats would have announced a change may have
        been lost, or cut off together with this one, since the watch began.
        """
        max_age = self._rules.watch_timeout(now) + _RESPONSE_MARGIN_NS
        if now - self._watch_started_at > max_age and not self._is_renewed:
            self._drop_call()

    def retry(self, answered_request_at: Nanoseconds) -> None:
        """Retry at once because the store has responded to another call.

        A call sent before that one and still without response counts as lost.

        Args:
            answered_request_at: Time at which the answered call was sent.
        """
        self._may_retry.set()
        if self._watch_started_at < answered_request_at:
            self._drop_call()

    def _drop_call(self) -> None:
        if self._call is not None and not self._has_response_begun:
            self._is_call_dropped = True
            self._call.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            requested_at = self._clock()
            view = await self._store.list_records(self._kind)
            now = self._clock()
            self._record_era(view.revision.era, now)
            self._availability.record_store_response(view.revision.era, now)
            self._sink.replace(view, now)
            self._record_confirmation(view, requested_at)
            return
        changes = await self._watch(self._revision)
        now = self._clock()
        if changes is not None:
            self._availability.record_store_response(changes.revision.era, now)
        if self._relist_at is not None and now >= self._relist_at:
            self._relist_at = None
            self._revision = None
            return
        if changes is None:
            return
        if changes.records:
            self._last_change = max(
                self._last_change, changes.last_change_revision
            )
            self._sink.change(changes, now)
        self._record_confirmation(changes, now)
        if changes.records:
            await asyncio.sleep(ns_to_seconds(self._rules.batch_interval()))

    def _record_era(self, era: int, now: Nanoseconds) -> None:
        if advance_era(self._eras, era):
            # The first list may lack entries that are written again later.
            self._relist_at = now + SETTLING_NS

    def _record_confirmation(self, view: RecordSet, time: Nanoseconds) -> None:
        if self._is_disconnected:
            self._is_disconnected = False
            last = time if self._confirmed_at is None else self._confirmed_at
            log_event(
                Event.PLATFORM_FOUND,
                self._kind.value,
                away_ms=(time - last) // MILLISECOND_NS,
            )
        self._revision = view.revision
        self._confirmed_at = time
        self._outdated_since = None

    async def _watch(self, revision: StoreRevision) -> RecordSet | None:
        """Return the changes after a revision, ``None`` to watch again."""
        wait_s = self._watch_wait_s()
        self._watch_started_at = self._clock()
        self._call = asyncio.ensure_future(
            self._store.watch_records(
                self._kind, revision, wait_s, self._mark_response_begun
            )
        )
        try:
            changes = await self._call
        except asyncio.CancelledError:
            if not self._is_call_dropped or _is_task_cancelled():
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
            self._is_call_dropped = False
            self._has_response_begun = False
        self._is_renewed = False
        return changes

    def _mark_response_begun(self) -> None:
        self._has_response_begun = True

    def _watch_wait_s(self) -> float:
        if self._is_renewed or self._is_disconnected:
            return _NO_WAIT_S
        now = self._clock()
        wait_s = ns_to_seconds(self._rules.watch_timeout(now))
        if self._relist_at is not None:
            time_left = max(0, self._relist_at - now)
            wait_s = min(wait_s, ns_to_seconds(time_left))
        return wait_s

    async def _recover(self, error: PlatformError) -> None:
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, self._kind.value)
            self._revision = None
            return
        self._availability.record_store_failure()
        now = self._clock()
        if not self._is_disconnected:
            self._is_disconnected = True
            log_event(Event.PLATFORM_LOST, error.detail)
            if now - self._fast_retry_at >= _FAST_RETRY_INTERVAL_NS:
                # Only the connection may have been lost; a new one may work.
                self._fast_retry_at = now
                return
        self._may_retry.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(
                _RETRY_DELAY_S * (1 + self._random.random())
            ):
                await self._may_retry.wait()


def _is_task_cancelled() -> bool:
    """Return whether the task itself was cancelled, not only its call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
