"""Daemons in virtual time that are cut off from the store for a while."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from attrs import define, evolve
from tests.daemon.edge.fake_store import (
    DELAY_S,
    SharedStore,
    StorePath,
    clock,
)
from tests.platform.harness import BOUNDS as DEFAULT_BOUNDS
from tests.platform.harness import make_configuration

from geraniumshelf_core.presence.commands import register_instance
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.heartbeats import Heartbeats
from geraniumshelf_daemon.edge.interface import (
    Record,
    RecordKind,
)
from geraniumshelf_daemon.edge.settings import EdgeSettings, OperatorBounds
from geraniumshelf_daemon.edge.state import EdgeState, build_state
from geraniumshelf_daemon.edge.store_follower import StoreFollower
from geraniumshelf_daemon.edge.versions import report_versions
from geraniumshelf_daemon.edge.watch_policy import WatchPolicy
from geraniumshelf_platform.records import decode_record
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

BOUNDS = evolve(DEFAULT_BOUNDS, server_heartbeat_interval=SECOND_NS * 3 // 2)
CONTACT_S = BOUNDS.contact_time / SECOND_NS
_TICK_S = 0.25
# More instances than a small fleet has.
_STANDBYS = 20


def make_server(name: str) -> ListedServer:
    """Return the entry of a backend server."""
    return ListedServer(name, 'desk', '10.0.0.1:1', 'a1', 2, started_at_ms=7)


def read_configuration(version: int) -> Record:
    """Return a configuration record of a version."""
    record = decode_record(
        RecordKind.CONFIGURATION, 'main', make_configuration(version)
    )
    assert record is not None
    return record


class _Port(DatagramPort):
    """Delivers datagrams to the daemons of this process."""

    def __init__(self, ports: dict[str, DatagramPort], ip: str) -> None:
        super().__init__(0)
        self._ports = ports
        ports[ip] = self

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        target = self._ports.get(ip)
        if target is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(DELAY_S, target._dispatch, datagram)


class FollowerDaemon:
    """The parts of a daemon that follow the store and send heartbeats."""

    def __init__(
        self,
        name: str,
        zones: Mapping[str, str],
        path: StorePath,
        ports: dict[str, DatagramPort],
        random: Random,
        bounds: OperatorBounds = BOUNDS,
    ) -> None:
        """Start to follow the store.

        Args:
            name: Name of this instance.
            zones: Zone of each instance of the fleet.
            path: Connection to the store.
            ports: Sockets of all daemons by IP address.
            random: Adds jitter.
            bounds: Limits of the operator.
        """
        zone = zones[name]
        settings = EdgeSettings(
            name, zone, {zone: 'a'}, name, 1, '', '', '', 0, (), '', '', bounds
        )
        self.path = path
        self.state: EdgeState = build_state(settings, clock())
        self._presence = PresenceState(name, is_complete=True)
        for other, other_zone in zones.items():
            register_instance(
                self._presence, other, RegisteredInstance(other_zone), other
            )
        self._heartbeats = Heartbeats(
            self._presence,
            PresenceHeartbeat(
                name, random.getrandbits(32), 0, zone, name, '', True
            ),
            _Port(ports, name),
            clock,
            random,
        )
        self._watch_policy = WatchPolicy(
            self._presence,
            lambda: self._heartbeats.own_heartbeat,
            lambda: bounds,
        )
        self._store_follower = StoreFollower(
            self.state,
            path,
            self._watch_policy.availability,
            clock,
            random,
            lambda: None,
            self._watch_policy.rules,
        )
        self._store_follower.start()
        self._tasks = [
            asyncio.create_task(step())
            for step in (self._heartbeats.run, self._tick)
        ]

    @property
    def servers(self) -> set[str]:
        """Return the names of the servers in use."""
        return set(self.state.placement.servers)

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()
        await self._store_follower.stop()

    async def _tick(self) -> None:
        while True:
            now = clock()
            self._store_follower.expire_missing(now)
            self._store_follower.renew_outdated(
                self._watch_policy.has_missed, now
            )
            self._store_follower.confirm_servers(now)
            self._heartbeats.update_store_report(
                self._store_follower.build_report(now)
            )
            report_versions(self.state, self._presence, now)
            await asyncio.sleep(_TICK_S)


@define
class FollowerFleet:
    """Daemons that share a store.

    Attributes:
        store: The store, with a server of each given name.
        daemons: The daemons by name.
    """

    store: SharedStore
    daemons: dict[str, FollowerDaemon]


async def sleep_until(time_s: float) -> None:
    """Wait until a virtual time."""
    now = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0, time_s - now))


def run_fleet(
    cuts: Mapping[str, tuple[tuple[float, float], ...]],
    seed: int,
    scenario: Callable[[FollowerFleet], Awaitable[None]],
    servers: tuple[str, ...] = ('s1', 's2'),
    *,
    zones: Mapping[str, str] | None = None,
    has_standbys: bool = False,
    bounds: OperatorBounds = BOUNDS,
) -> None:
    """Run a scenario in virtual time.

    Args:
        cuts: Times in which the store is unreachable, by name of the daemon.
        seed: Seed for the start times and the jitter of the daemons.
        scenario: Steps and assertions of the test.
        servers: Names of the servers in the store.
        zones: Zone of each daemon, ``a1`` if not given.
        has_standbys: Whether silent standbys of another zone make the fleet a
            large one.
        bounds: Limits of the operator.
    """
    fleet_zones = dict.fromkeys(cuts, 'a1') | dict(zones or {})
    if has_standbys:
        fleet_zones |= {f'z{number}': 'z1' for number in range(_STANDBYS)}

    async def main() -> None:
        random = Random(seed)
        store = SharedStore()
        store.put(RecordKind.CONFIGURATION, 'main', read_configuration(1))
        for name in servers:
            store.put(RecordKind.SERVERS, name, make_server(name))
        ports: dict[str, DatagramPort] = {}
        daemons: dict[str, FollowerDaemon] = {}
        for name, times in cuts.items():
            await asyncio.sleep(random.random() * _TICK_S)
            daemons[name] = FollowerDaemon(
                name,
                fleet_zones,
                StorePath(store, times),
                ports,
                Random(random.random()),
                bounds,
            )
        try:
            await scenario(FollowerFleet(store, daemons))
        finally:
            for daemon in daemons.values():
                await daemon.stop()

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main())
