"""Assembly, start and shutdown of the edge daemon."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import evolve

from geraniumshelf_core.presence.commands import update_request_rate
from geraniumshelf_core.presence.entry_role import EntryRole
from geraniumshelf_core.presence.state import RequestRate
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.attempt import AttemptDependencies
from geraniumshelf_daemon.edge.caller_limits import (
    apply_timeouts,
    make_budget,
    max_idle_connections,
)
from geraniumshelf_daemon.edge.clock import boot_time
from geraniumshelf_daemon.edge.connections import ServerConnections
from geraniumshelf_daemon.edge.directory import (
    Directory,
    MetricsPage,
    ReadyCheck,
)
from geraniumshelf_daemon.edge.fleet import FleetLink
from geraniumshelf_daemon.edge.forwarding import RequestForwarder
from geraniumshelf_daemon.edge.health_checks import HealthChecker
from geraniumshelf_daemon.edge.interface import HeaderCodec, PlatformStore
from geraniumshelf_daemon.edge.limits import count_daemons, divide_limits
from geraniumshelf_daemon.edge.listeners import Listeners
from geraniumshelf_daemon.edge.loading import LoadingGate, LoadingPath
from geraniumshelf_daemon.edge.relay import Relay
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.spill_controller import SpillController
from geraniumshelf_daemon.edge.standby import Standby
from geraniumshelf_daemon.edge.state import (
    apply_bounds,
    build_state,
)
from geraniumshelf_daemon.edge.store_follower import (
    StoreFollower,
    run_with_restart,
)
from geraniumshelf_daemon.edge.versions import report_versions
from geraniumshelf_daemon.edge.watch_policy import WatchPolicy
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics

_TICK_S: Final = 0.25
# A starting daemon decides its role as soon as it has read the registry. Until
# it has loaded it refuses callers, so this interval is short.
_STARTUP_TICK_S: Final = 0.02
# Callers learn within this time that the daemon is shutting down; until then it
# accepts new connections.
_LEAVE_NOTICE_MS: Final = 2500
_LEAVE_NOTICE_NS: Final[Nanoseconds] = _LEAVE_NOTICE_MS * MILLISECOND_NS
# Fraction of the grace period after which requests in flight are aborted.
_GRACE_FRACTION: Final = 0.95
_DRAIN_POLL_S: Final = 0.05


class EdgeDaemon:
    """Assembles the components of an edge daemon and runs them."""

    def __init__(
        self,
        settings: EdgeSettings,
        store: PlatformStore,
        codec: HeaderCodec,
        clock: Callable[[], Nanoseconds] = boot_time,
        random: Random | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._random = random or Random()
        bounds = settings.bounds
        self._state = build_state(settings, clock())
        self._fleet = FleetLink(settings, self._state, clock, self._random)
        self._presence = self._fleet.presence
        self._entry_role = EntryRole(clock())
        self._request_rate = RequestRate(measured_at=clock())
        self._watch_policy = WatchPolicy(
            self._presence,
            self._fleet.own_heartbeat,
            lambda: self._settings.bounds,
        )
        self._store_follower = StoreFollower(
            self._state,
            store,
            self._watch_policy.availability,
            clock,
            self._random,
            self._divide_limits,
            self._watch_policy.rules,
        )
        self._standby = Standby(
            self._entry_role,
            self._store_follower,
            self._presence,
            self._state.quotas.whole_shares,
            self._fleet.own_heartbeat,
        )
        self._connections = ServerConnections(
            clock, max_idle_connections(settings)
        )
        self._budget = make_budget(settings)
        forwarder = RequestForwarder(
            self._presence,
            self._state,
            self._fleet.own_heartbeat,
            lambda: self._settings.bounds,
            clock,
            codec,
        )
        relay = Relay(
            self._state,
            AttemptDependencies(
                self._connections,
                codec,
                clock,
                self._fleet.handle_response,
            ),
            self._fleet.tokens,
            self._fleet.permits,
            clock,
            self._random,
            LoadingPath(
                forwarder, LoadingGate(self._state, self._will_load, clock)
            ),
        )
        directory = Directory(
            self._presence,
            settings.regions,
            self._fleet.own_heartbeat,
            bounds.max_ttl,
        )
        metrics = PrometheusMetrics()
        install_metrics(metrics)
        self._listeners = Listeners(
            relay.serve,
            directory.serve,
            ReadyCheck(self._is_ready).serve,
            MetricsPage(metrics, self._fleet.read_status).serve,
            self._budget,
        )
        self._health_checker = HealthChecker(
            self._state, codec, clock, self._fleet.limits
        )
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._spills = SpillController(
            self._state.placement, bounds.max_shift, _TICK_S
        )

    async def start(self) -> None:
        """Open the listeners and start the background tasks.

        Raises:
            OSError: If an address is in use.
        """
        settings = self._settings
        self._listeners.listen(settings)
        await self._fleet.listen()
        workers = self._fleet.create_background_tasks(
            self._store, self._entry_role
        )
        for worker in (
            *workers,
            self._health_checker.run,
            self._budget.run,
            self._tick,
        ):
            self._tasks.append(asyncio.create_task(run_with_restart(worker)))
        log_event(Event.DAEMON_STARTED, settings.name, zone=settings.zone)

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply changed limits; changed addresses need a restart."""
        bounds = settings.bounds
        self._settings = evolve(self._settings, bounds=bounds)
        apply_bounds(self._state, bounds)
        self._divide_limits()
        log_event(Event.SETTINGS_RELOADED, settings.name)

    def begin_stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self._stopping.is_set():
            log_event(Event.DAEMON_LEAVING, self._settings.name)
            self._stopping.set()

    async def wait_stop(self) -> None:
        """Wait until a graceful shutdown begins."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Drain callers and their requests, then close everything."""
        started_at = self._clock()
        grace_time = round(self._settings.bounds.grace_period * _GRACE_FRACTION)
        self._state.is_stopping = True
        self._state.abort_at = started_at + grace_time
        self._state.accepts_until = started_at + _LEAVE_NOTICE_NS
        self._fleet.heartbeats.announce(is_ready=False, is_standby=False)
        self._listeners.front.stop_keep_alive()
        await asyncio.sleep(ns_to_seconds(_LEAVE_NOTICE_NS))
        self._listeners.front.stop_accepting()
        # Connections are counted instead of tasks: a request that was just
        # read may not have a running task yet.
        front = self._listeners.front
        while front.close_idle() and self._clock() < self._state.abort_at:
            await asyncio.sleep(_DRAIN_POLL_S)
        await self.close()
        log_event(
            Event.DAEMON_STOPPED,
            self._settings.name,
            requests=self._state.in_flight,
        )

    async def close(self) -> None:
        """Close everything at once and abort requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store_follower.stop()
        await self._listeners.close()
        install_metrics(None)
        self._fleet.close()
        self._connections.close()

    def _will_load(self) -> bool:
        is_leaving = self._standby.is_standby or self._stopping.is_set()
        return not is_leaving and not self._store_follower.is_disconnected

    def _is_ready(self) -> bool:
        return self._state.is_loaded and not self._stopping.is_set()

    async def _tick(self) -> None:
        sizes = (0, 0)
        while True:
            now = self._clock()
            if not self._stopping.is_set():
                await self._standby.update_role(self._state, now)
            self._store_follower.expire_missing(now)
            self._spills.adjust(now)
            self._fleet.notices.repeat(now)
            update_request_rate(
                self._request_rate, self._state.request_count, now
            )
            self._store_follower.renew_outdated(
                self._watch_policy.has_missed, now
            )
            self._store_follower.confirm_servers(now)
            self._fleet.heartbeats.update_store_report(
                self._store_follower.build_report(now)
            )
            report_versions(self._state, self._presence, now)
            self._fleet.heartbeats.announce(
                is_ready=self._is_ready(),
                is_standby=self._standby.is_standby
                and not self._stopping.is_set(),
                rate=self._request_rate.per_s,
            )
            new_sizes = count_daemons(self._presence, self._settings)
            if sizes != new_sizes:
                sizes = new_sizes
                self._divide_limits()
            delay_s = _TICK_S if self._standby.has_decided else _STARTUP_TICK_S
            await asyncio.sleep(delay_s)

    def _divide_limits(self) -> None:
        table = self._state.table
        if table is None:
            return
        divide_limits(
            self._state,
            self._presence,
            self._settings,
            table.configuration,
            self._clock(),
        )
        idle_s = ns_to_seconds(table.configuration.limits.idle_timeout)
        self._listeners.front.set_idle_timeout(idle_s)
        apply_timeouts(self._budget, table.configuration.limits)
