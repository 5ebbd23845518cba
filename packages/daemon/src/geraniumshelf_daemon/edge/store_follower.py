"""Follows the store while this daemon is an entry."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from attrs import evolve

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.cold_starts import (
    confirm_list,
    is_list_current,
)
from geraniumshelf_core.placement.commands import clear_servers
from geraniumshelf_core.presence.state import StoreReport
from geraniumshelf_core.presence.versions import (
    begin_loading,
    has_missed_version,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.followed_kinds import (
    CONFIGURATION_INDEX,
    FOLLOWED_KINDS,
    SERVERS_INDEX,
)
from geraniumshelf_daemon.edge.interface import PlatformStore
from geraniumshelf_daemon.edge.sinks import (
    ConfigurationSink,
    EvacuationSink,
    ServerSink,
)
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.store_probe import StoreProbe
from geraniumshelf_daemon.edge.watch_renewals import WatchRenewals
from geraniumshelf_daemon.edge.watch_rules import RecordSink, WatchRules
from geraniumshelf_daemon.edge.watcher import Watcher
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

_RESTART_DELAY_S: Final = 0.5


class StoreFollower:
    """Keeps configuration, servers and evacuations in line with the store."""

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        availability: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        on_change: Callable[[], None],
        rules: WatchRules,
    ) -> None:
        """Prepare to follow the store.

        Args:
            state: Receives the data read from the store.
            store: The platform's store.
            availability: Tracks since when the store has responded.
            clock: Returns the current time, nanoseconds.
            random: Adds jitter, so that daemons do not call at the same time.
            on_change: Called with each new configuration.
            rules: Timeouts and intervals of the watches.
        """
        self._renewals = WatchRenewals(
            clock,
            random,
            lambda: state.placement.policies.renews_lost_watches,
        )
        self._rules = evolve(rules, on_loss=self._renewals.record_loss)
        self._watchers: tuple[Watcher, ...] = ()
        self._state = state
        self._store = store
        self._availability = availability
        self._clock = clock
        self._random = random
        self._on_change = on_change
        self._server_sink = ServerSink(state, availability.available_since)
        self._tasks: list[asyncio.Task[None]] = []
        self._was_list_current = False

    @property
    def is_disconnected(self) -> bool:
        """Return whether the last call of any watch failed."""
        return any(watcher.is_disconnected for watcher in self._watchers)

    def build_report(self, now: Nanoseconds) -> StoreReport:
        """Return what heartbeats report about the store."""
        configuration = self._watchers[0] if self._watchers else None
        return StoreReport(
            configuration.confirmed_at if configuration else None,
            tuple(watcher.last_change for watcher in self._watchers),
            self._state.version,
            self._availability.era,
            self._availability.available_for(now),
        )

    def renew_outdated(
        self,
        has_missed: Callable[[int, StoreRevision], bool],
        now: Nanoseconds,
    ) -> None:
        """Renew the watches that have missed a change, or may have.

        Args:
            has_missed: Returns whether others know of a newer change, for the
                index of the kind in ``changes`` and the revision up to which
                all changes are known here.
            now: Current time.
        """
        for kind_index, watcher in enumerate(self._watchers):
            watcher.renew_overdue(now)
            if has_missed(kind_index, watcher.seen_revision) or (
                kind_index == CONFIGURATION_INDEX
                and has_missed_version(
                    self._state.versions, watcher.confirmed_at
                )
            ):
                watcher.renew(now)

    def confirm_servers(self, now: Nanoseconds) -> None:
        """Update until when the list of servers was known to be complete."""
        placement = self._state.placement
        placement.max_list_age = self._rules.max_list_age()
        confirmed_at = self._servers_confirmed_at()
        if confirmed_at is not None:
            confirm_list(placement, confirmed_at)
        is_current = is_list_current(placement, now)
        if is_current == self._was_list_current or not self._state.has_servers:
            return
        self._was_list_current = is_current
        age_ms = (now - placement.list_confirmed_at) // MILLISECOND_NS
        if is_current:
            log_event(Event.BACKENDS_CONFIRMED, age_ms=age_ms)
        else:
            count_metric(Metric.BACKENDS_UNCONFIRMED)
            log_event(Event.BACKENDS_UNCONFIRMED, age_ms=age_ms)

    def _servers_confirmed_at(self) -> Nanoseconds | None:
        if not self._watchers:
            return None
        watcher = self._watchers[SERVERS_INDEX]
        confirmed_at = watcher.confirmed_at
        last_response_at = self._availability.last_response_at
        if confirmed_at is None or last_response_at is None:
            return None
        if watcher.is_disconnected or self._rules.is_behind(
            SERVERS_INDEX, watcher.seen_revision
        ):
            return confirmed_at
        contact_since = self._availability.contact_since
        if max(confirmed_at, watcher.watch_started_at) < contact_since:
            # The response of the watch may have been lost with the contact.
            watcher.retry(contact_since)
            return confirmed_at
        return max(confirmed_at, last_response_at)

    def start(self) -> None:
        """Start to follow the store."""
        self._server_sink = ServerSink(
            self._state, self._availability.available_since
        )
        sinks: tuple[RecordSink, ...] = (
            ConfigurationSink(self._state, self._on_change),
            self._server_sink,
            EvacuationSink(self._state),
        )
        self._watchers = tuple(
            Watcher(
                self._store,
                kind,
                sink,
                self._availability,
                self._clock,
                self._random,
                self._rules,
            )
            for kind, sink in zip(FOLLOWED_KINDS, sinks, strict=True)
        )
        self._renewals.start(self._watchers)
        workers = (*(watcher.run for watcher in self._watchers), self._probe)
        for worker in workers:
            self._tasks.append(asyncio.create_task(run_with_restart(worker)))

    async def stop(self) -> None:
        """Stop following the store and clear the data read from it.

        Requests that still arrive are refused instead of being served from
        outdated data, and servers that leave in the meantime are not used
        after the next start.
        """
        self._renewals.stop()
        tasks = tuple(self._tasks)
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._watchers = ()
        self._availability.reset()
        self._state.table = None
        self._state.has_servers = False
        self._state.has_evacuations = False
        begin_loading(self._state.versions)
        clear_servers(self._state.placement)

    async def _probe(self) -> None:
        probe = StoreProbe(
            self._store,
            self._availability,
            self._clock,
            self._random,
            self._rules,
        )
        await probe.run(lambda: self.is_disconnected, self._record_contact)

    def _record_contact(self, answered_request_at: Nanoseconds) -> None:
        self.confirm_servers(self._clock())
        for watcher in self._watchers:
            if watcher.is_disconnected:
                watcher.retry(answered_request_at)

    def expire_missing(self, now: Nanoseconds) -> None:
        """Remove the servers whose entries have not come back in time."""
        self._server_sink.expire_missing(now)


async def run_with_restart(worker: Callable[[], Awaitable[None]]) -> None:
    """Run a worker and restart it when it fails, until it is cancelled."""
    while True:
        try:
            await worker()
        except Exception as error:
            log_event(Event.TASK_FAILED, f'{type(error).__name__} {error}')
            await asyncio.sleep(_RESTART_DELAY_S)
