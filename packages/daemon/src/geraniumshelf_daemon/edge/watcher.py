"""Watches one kind of object in the platform's store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.errors import (
    PlatformConnectionLost,
    PlatformError,
    ResultCode,
)
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.era_relists import EraRelist
from geraniumshelf_daemon.edge.interface import (
    PlatformStore,
    RecordKind,
    RecordSet,
)
from geraniumshelf_daemon.edge.last_change import LastChange
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watch_retries import WatchRetries
from geraniumshelf_daemon.edge.watch_rules import RecordSink, WatchRules
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# A change that others know of may still be on its way to this daemon, over a
# link that large changes fill. The limits on its delay are 2 s and more.
_MAX_DELAY_NS: Final[Nanoseconds] = SECOND_NS
# The store responds within this time after the wait of a watch has ended.
_RESPONSE_MARGIN_NS: Final[Nanoseconds] = SECOND_NS
# Calls to the store are priced, so a watch is not renewed more often than this.
# Callers' limits on the delay of a change allow several such intervals.
_MIN_RENEWAL_INTERVAL_NS: Final[Nanoseconds] = SECOND_NS // 2
# Renewed watches fetch known changes; those after a failure test the store.
_NO_WAIT_S: Final = 0


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
        self._revision: StoreRevision | None = None
        self._last_change = LastChange()
        self._relist = EraRelist()
        self._confirmed_at: Nanoseconds | None = None
        self._watch_started_at: Nanoseconds = 0
        self._renewed_at: Nanoseconds = -_MIN_RENEWAL_INTERVAL_NS
        self._outdated_since: Nanoseconds | None = None
        self._call: asyncio.Future[RecordSet] | None = None
        self._is_renewed = False
        self._is_call_dropped = False
        self._retries = WatchRetries(random)
        self._response_begun = asyncio.Event()
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
        return self._last_change.revision

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
        if now - self._outdated_since > _MAX_DELAY_NS:
            self._renew_call(now)

    def renew_overdue(self, now: Nanoseconds) -> None:
        """Renew the watch if it has waited longer than it may now.

        The daemons whose heartbeats would have announced a change may have
        been lost, or cut off together with this one, since the watch began.
        """
        max_age = self._rules.watch_timeout(now) + _RESPONSE_MARGIN_NS
        if now - self._watch_started_at > max_age:
            self._renew_call(now)

    def renew_earlier(self, lost_at: Nanoseconds, now: Nanoseconds) -> None:
        """Renew the watch if it was sent before another watch was lost.

        Args:
            lost_at: Time at which the other watch was lost.
            now: Current time.
        """
        if self._watch_started_at < lost_at:
            self._renew_call(now)

    def retry(self, answered_request_at: Nanoseconds) -> None:
        """Retry at once because the store has responded to another call.

        A call sent before that one and still without response counts as lost.

        Args:
            answered_request_at: Time at which the answered call was sent.
        """
        self._retries.end_delay()
        if self._watch_started_at < answered_request_at:
            self._drop_call()

    def _renew_call(self, now: Nanoseconds) -> None:
        """Fetch the changes at once unless the last renewal was recent."""
        is_recent = now - self._renewed_at < _MIN_RENEWAL_INTERVAL_NS
        if self._call is None or self._is_renewed or is_recent:
            return
        self._renewed_at = now
        self._drop_call()

    def _drop_call(self) -> None:
        if self._call is not None and not self._response_begun.is_set():
            self._is_call_dropped = True
            self._call.cancel()

    async def _step(self) -> None:
        if self._revision is None:
            requested_at = self._clock()
            view = await self._store.list_records(self._kind)
            now = self._clock()
            self._relist.record_era(view.revision.era, now)
            self._availability.record_store_response(view.revision.era, now)
            self._sink.replace(view, now)
            self._last_change.record_list(view)
            self._record_confirmation(view, requested_at)
            return
        changes = await self._watch(self._revision)
        now = self._clock()
        if changes is not None:
            self._availability.record_store_response(changes.revision.era, now)
        if self._relist.end_if_due(now):
            self._revision = None
            return
        if changes is None:
            return
        if changes.records:
            self._last_change.record_changes(changes)
            self._sink.change(changes, now)
        self._record_confirmation(changes, now)
        if changes.records:
            await asyncio.sleep(ns_to_seconds(self._rules.batch_interval()))

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
                self._kind, revision, wait_s, self._response_begun.set
            )
        )
        try:
            changes = await self._call
        except asyncio.CancelledError:
            if not self._is_call_dropped or _is_task_cancelled():
                raise
            self._is_renewed = True
            count_metric(Metric.WATCHES_RENEWED)
            log_event(
                Event.WATCH_RESTARTED,
                self._kind.value,
                revision=revision.number,
            )
            return None
        finally:
            self._call = None
            self._is_call_dropped = False
            self._response_begun.clear()
        self._is_renewed = False
        return changes

    def _watch_wait_s(self) -> float:
        if self._is_renewed or self._is_disconnected:
            return _NO_WAIT_S
        now = self._clock()
        timeout = self._rules.watch_timeout(now)
        return ns_to_seconds(self._relist.limit_wait(timeout, now))

    async def _recover(self, error: PlatformError) -> None:
        # The failure of a renewal or a retry follows an earlier loss, and would
        # cause renewals without end.
        is_expected = self._is_renewed or self._is_disconnected
        self._is_renewed = False
        if not is_expected and _is_loss(error):
            self._rules.on_loss()
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, self._kind.value)
            self._revision = None
            return
        self._availability.record_store_failure()
        is_first = not self._is_disconnected
        if is_first:
            self._is_disconnected = True
            log_event(Event.PLATFORM_LOST, error.detail)
        await self._retries.wait(self._clock(), is_first=is_first)


def _is_loss(error: PlatformError) -> bool:
    """Return whether the cause of a failed watch may silence other watches."""
    return error.code is ResultCode.WATCH_TOO_OLD or isinstance(
        error, PlatformConnectionLost
    )


def _is_task_cancelled() -> bool:
    """Return whether the task itself was cancelled, not only its call."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
