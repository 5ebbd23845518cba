"""Life of a daemon on a platform that lists the backend servers."""

import asyncio
import os
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import evolve

from geraniumshelf_core.presence.commands import (
    add_target,
    measure_rate,
    register_instance,
)
from geraniumshelf_core.presence.duty import Duty
from geraniumshelf_core.presence.state import (
    Beat,
    Member,
    PresenceState,
    RequestRate,
)
from geraniumshelf_core.shares.messages import TokenGrant
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.attempt import AttemptTools
from geraniumshelf_daemon.edge.clock import boot_time
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.directory import (
    Directory,
    MetricsPage,
    ReadyCheck,
)
from geraniumshelf_daemon.edge.following import Following, guard_task
from geraniumshelf_daemon.edge.interface import HeaderCodec, SiteStore
from geraniumshelf_daemon.edge.lending import ShareExchange
from geraniumshelf_daemon.edge.limits import divide_limits, fleet_sizes
from geraniumshelf_daemon.edge.peers import Heartbeats
from geraniumshelf_daemon.edge.registry import Registry
from geraniumshelf_daemon.edge.relay import Relay
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.spilling import Spills
from geraniumshelf_daemon.edge.standby import Standby
from geraniumshelf_daemon.edge.state import (
    apply_bounds,
    build_state,
)
from geraniumshelf_daemon.edge.tokens import AccountTokens
from geraniumshelf_daemon.front.server import FrontServer
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.exposition import Exposition
from geraniumshelf_daemon.observability.metrics import install_metrics
from geraniumshelf_daemon.upstream.pool import ConnectionPool

_TICK_S: Final = 0.25
# A daemon that starts decides as soon as it has read the registry; callers that
# come before it has loaded are refused.
_FIRST_TICK_S: Final = 0.02
# Three times the longest way between regions and back.
_CONNECT_TIMEOUT_MS: Final = 300
_CONNECT_TIMEOUT_NS: Final[Nanoseconds] = _CONNECT_TIMEOUT_MS * MILLISECOND_NS
_IDLE_CONNECTIONS: Final = 12
# Callers learn within this time that the daemon is leaving; new ones are
# served until then.
_LEAVE_S: Final = 2.5
# Part of the grace time after which running requests are given up.
_GRACE_PART: Final = 0.95
_POLL_S: Final = 0.05
# Until the configuration is known, callers may be idle for this time.
_IDLE_TIMEOUT_S: Final = 15.0


class EdgeDaemon:
    """Wires the parts of a daemon and runs them until it is told to stop."""

    def __init__(
        self,
        settings: EdgeSettings,
        store: SiteStore,
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
        self._presence = PresenceState(settings.ip)
        self._port = DatagramPort(settings.peer_port)
        self._heartbeats = Heartbeats(
            self._presence,
            _first_beat(settings),
            self._port,
            clock,
            self._random,
        )
        self._shares = ShareExchange(
            self._presence,
            self._state.quotas,
            self._port,
            lambda: self._heartbeats.own,
            clock,
            self._random,
            settings.regions,
        )
        tokens = AccountTokens(
            self._state.quotas,
            clock,
            self._shares.ask_tokens,
            self._shares.has_owner,
        )
        self._port.register(TokenGrant, tokens.take_grant)
        self._duty = Duty(clock())
        self._rate = RequestRate(measured_at=clock())
        self._following = Following(
            self._state, store, clock, self._random, self._divide
        )
        self._standby = Standby(
            self._duty,
            self._following,
            self._presence,
            self._state.quotas.holding,
            lambda: self._heartbeats.own,
        )
        self._pool = ConnectionPool(_IDLE_CONNECTIONS, _CONNECT_TIMEOUT_NS)
        relay = Relay(
            self._state,
            AttemptTools(self._pool, codec, clock),
            tokens,
            clock,
            self._random,
        )
        directory = Directory(
            self._presence,
            settings.regions,
            lambda: self._heartbeats.own,
            bounds.longest_ttl,
        )
        self._front = FrontServer(relay.serve, _IDLE_TIMEOUT_S)
        self._directory = FrontServer(directory.serve, _IDLE_TIMEOUT_S)
        self._ready = FrontServer(
            ReadyCheck(self._is_ready).serve, _IDLE_TIMEOUT_S
        )
        exposition = Exposition()
        install_metrics(exposition)
        self._metrics = FrontServer(
            MetricsPage(exposition).serve, _IDLE_TIMEOUT_S
        )
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._spills = Spills(
            self._state.placement, bounds.largest_shift, _TICK_S
        )

    async def start(self) -> None:
        """Listen and begin to follow the store.

        Raises:
            OSError: If an address is in use.
        """
        settings = self._settings
        for server, address in (
            (self._ready, settings.ready_address),
            (self._front, settings.front_address),
            (self._directory, settings.directory_address),
            (self._metrics, settings.metrics_address),
        ):
            if address:
                host, _, port = address.rpartition(':')
                server.listen(host, int(port))
        await self._port.listen(settings.ip)
        register_instance(
            self._presence,
            settings.name,
            Member(settings.zone, settings.cores),
            settings.ip,
        )
        for seed in settings.seeds:
            add_target(self._presence, seed)
        for step in (
            self._heartbeats.run,
            self._shares.run,
            Registry(
                self._store,
                self._presence,
                settings,
                self._random,
                self._duty,
            ).run,
            self._tick,
        ):
            self._tasks.append(asyncio.create_task(guard_task(step)))
        log_event(Event.DAEMON_STARTED, settings.name, zone=settings.zone)

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Take over changed bounds; addresses stay until the next start."""
        bounds = settings.bounds
        self._settings = evolve(self._settings, bounds=bounds)
        apply_bounds(self._state, bounds)
        self._divide()
        log_event(Event.SETTINGS_RELOADED, settings.name)

    def begin_stop(self) -> None:
        """Begin a graceful shutdown."""
        if not self._stopping.is_set():
            log_event(Event.DAEMON_LEAVING, self._settings.name)
            self._stopping.set()

    async def wait_stop(self) -> None:
        """Wait until a shutdown begins."""
        await self._stopping.wait()

    async def stop(self) -> None:
        """Let callers leave, finish their requests and close everything."""
        begun = self._clock()
        self._state.is_stopping = True
        self._heartbeats.announce(is_ready=False, is_standby=False)
        self._front.stop_keep_alive()
        await asyncio.sleep(_LEAVE_S)
        self._front.stop_accepting()
        grace = round(self._settings.bounds.grace * _GRACE_PART)
        # Connections are counted and not tasks: a request that was just read
        # has no task that runs yet.
        while self._front.close_idle() and self._clock() - begun < grace:
            await asyncio.sleep(_POLL_S)
        await self.close()
        log_event(
            Event.DAEMON_STOPPED,
            self._settings.name,
            requests=self._state.running,
        )

    async def close(self) -> None:
        """Close everything at once, also requests under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._following.stop()
        for server in (
            self._front,
            self._directory,
            self._ready,
            self._metrics,
        ):
            await server.close()
        install_metrics(None)
        self._port.close()
        self._pool.close()

    def _is_ready(self) -> bool:
        return self._state.is_loaded and not self._stopping.is_set()

    async def _tick(self) -> None:
        sizes = (0, 0)
        while True:
            now = self._clock()
            if not self._stopping.is_set():
                await self._standby.adjust(self._state, self._settings, now)
            self._following.forget_removed(now)
            self._spills.adjust(now)
            measure_rate(self._rate, self._state.asked, now)
            self._heartbeats.announce(
                is_ready=self._is_ready(),
                is_standby=self._standby.is_standby
                and not self._stopping.is_set(),
                rate=self._rate.per_s,
            )
            found = fleet_sizes(self._presence, self._settings)
            if sizes != found:
                sizes = found
                self._divide()
            pause = _TICK_S if self._standby.has_decided else _FIRST_TICK_S
            await asyncio.sleep(pause)

    def _divide(self) -> None:
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
        idle_s = ns_to_seconds(table.configuration.limits.idle_time)
        self._front.set_idle_timeout(idle_s)


def _first_beat(settings: EdgeSettings) -> Beat:
    return Beat(
        settings.name,
        int.from_bytes(os.urandom(4)),
        0,
        settings.zone,
        settings.ip,
        settings.front_address,
        is_ready=False,
        cores=settings.cores,
    )
