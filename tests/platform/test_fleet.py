"""Tests of several daemons of one zone that exchange messages."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

from attrs import define, evolve, field
from loguru import logger
from tests.platform.harness import (
    BOUNDS,
    HOST,
    TIMEOUT_S,
    CallerStandin,
    connect_to,
    find_free_ports,
    make_configuration,
    make_path,
    make_settings,
    run_scenario,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour, StoreStandin

from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.daemon import EdgeDaemon
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_platform.headers import PlatformHeaders
from geraniumshelf_platform.store import ObjectStore

_CORES = {'l1': 2.15, 'l2': 2.15, 's1': 0.43, 's2': 0.43}
# Interval at which a running daemon checks its role.
_ROLE_INTERVAL_S = 0.25
# Two standbys and two entries share a rate of 8/s and a burst of 8.
_ACCOUNT = {
    'name': 'shop',
    'api_keys': ['key'],
    'rate_per_s': 8,
    'burst': 8,
    'allowed_regions': [],
}


@define(eq=False)
class Fleet:
    """The daemons of one zone with their store and server."""

    store: StoreStandin
    server: ServerStandin
    settings: dict[str, EdgeSettings]
    daemons: dict[str, EdgeDaemon] = field(factory=dict)

    async def fetch(self, name: str, target: str) -> int:
        """Send a request to a daemon and return the status of its response."""
        caller = await connect_to(self.settings[name].front_address)
        try:
            return (await caller.fetch(target)).status
        finally:
            caller.close()

    async def resolve_names(self, name: str) -> set[str]:
        """Return the names of the daemons that a daemon's directory lists."""
        caller: CallerStandin = await connect_to(
            self.settings[name].directory_address
        )
        try:
            response = await caller.fetch('/resolve?zone=a1')
        finally:
            caller.close()
        addresses = json.loads(response.body)['addresses']
        return {
            daemon_name
            for daemon_name, settings in self.settings.items()
            if settings.front_address in addresses
        }

    async def wait_until_resolved(self, name: str, expected: set[str]) -> None:
        """Wait until a daemon's directory lists exactly these daemons."""
        async with asyncio.timeout(TIMEOUT_S):
            while await self.resolve_names(name) != expected:
                await asyncio.sleep(0.05)


@asynccontextmanager
async def running_fleet() -> AsyncIterator[Fleet]:
    """Run the daemons; the block begins once the large ones are entries."""
    store, server = StoreStandin(), ServerStandin('i-1', slots=40)
    store_address = store.listen()
    await server.listen()
    store.put('servers', 'i-1', server.make_entry('desk', 'a1'))
    # The long target lets requests wait for a token, also on a busy machine.
    path = make_path('/read/', target_latency_s=4)
    hosts = [{'host': HOST, 'paths': [path]}]
    store.put(
        'config', 'main', make_configuration(tenants=[_ACCOUNT], hosts=hosts)
    )
    [peer_port] = find_free_ports(1)
    fleet = Fleet(
        store,
        server,
        {
            name: make_settings(
                store_address,
                name=name,
                ip=f'127.0.0.{number}',
                cores=cores,
                peer_port=peer_port,
                seeds=('127.0.0.11',),
                # A configuration stays current between two calls of an entry
                # to the store, and the report of a peer that the store is
                # available counts for two heartbeat intervals of a server.
                bounds=evolve(
                    BOUNDS,
                    apply_time=5 * SECOND_NS,
                    server_heartbeat_interval=SECOND_NS * 6 // 5,
                ),
            )
            for number, (name, cores) in enumerate(_CORES.items(), start=11)
        },
    )
    for number, (name, settings) in enumerate(fleet.settings.items()):
        daemon = EdgeDaemon(
            settings,
            ObjectStore(store_address, settings.ip),
            PlatformHeaders(),
            random=Random(number),
        )
        await daemon.start()
        fleet.daemons[name] = daemon
    try:
        await fleet.wait_until_resolved('l1', {'l1', 'l2'})
        yield fleet
    finally:
        for daemon in fleet.daemons.values():
            await daemon.close()
        server.close()
        await store.close()


def _run_fleet(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run_with_fleet() -> None:
        async with running_fleet() as fleet:
            # Time for the small daemons to learn of the others and to decide
            # their role.
            await asyncio.sleep(2.5)
            await scenario(fleet)

    run_scenario(run_with_fleet)


def test_small_daemons_stand_by_until_an_entry_is_lost() -> None:
    """Without a replacement, the zone would have one entry, then none."""

    async def scenario(fleet: Fleet) -> None:
        # Only the two entries have listed the configuration, which each
        # daemon does once before it watches it.
        lists = [call for call in fleet.store.calls if call.endswith('/config')]
        assert len(lists) == 2
        await fleet.daemons.pop('l2').close()
        await fleet.wait_until_resolved('l1', {'l1', 's1', 's2'})
        assert await fleet.fetch('s1', '/read/1') == 200

    _run_fleet(scenario)


def test_cut_off_entry_drops_a_server_that_the_others_know_to_be_gone() -> None:
    """After an outage for all daemons, missing servers are kept for 2 s.

    An entry that alone was cut off must remove the server at once, as the
    others know from the store that it has left.
    """

    async def scenario(fleet: Fleet) -> None:
        cut_off_ip = fleet.settings['l1'].ip
        fleet.store.put('servers', 'i-2', fleet.server.make_entry('desk', 'a1'))
        placement = fleet.daemons['l1']._state.placement
        async with asyncio.timeout(TIMEOUT_S):
            while 'i-2' not in placement.servers:
                await asyncio.sleep(0.05)
        fleet.store.ignored_ips.add(cut_off_ip)
        # Ends the pending watches, which would still get a response.
        fleet.store.put('servers', 'i-3', fleet.server.make_entry('desk', 'a1'))
        await asyncio.sleep(3)
        fleet.store.remove('servers', 'i-2')
        fleet.store.compact()
        await asyncio.sleep(1)
        assert 'i-2' in placement.servers
        log_lines: list[str] = []
        sink_id = logger.add(log_lines.append)
        fleet.store.ignored_ips.clear()
        async with asyncio.timeout(TIMEOUT_S):
            while 'i-2' in placement.servers:
                await asyncio.sleep(0.05)
        logger.remove(sink_id)
        assert not [line for line in log_lines if 'BACKEND_MISSING' in line]

    _run_fleet(scenario)


def test_standby_passes_callers_to_an_entry() -> None:
    """A caller that uses an outdated address would only get rejections."""

    async def scenario(fleet: Fleet) -> None:
        lists = [call for call in fleet.store.calls if call.endswith('/config')]
        for number in range(5):
            assert await fleet.fetch('s2', f'/read/{number}') == 200
        assert await fleet.resolve_names('l1') == {'l1', 'l2'}
        # The standby has not loaded the configuration.
        later = [call for call in fleet.store.calls if call.endswith('/config')]
        assert len(later) == len(lists)

    _run_fleet(scenario)


def test_standby_passes_nothing_while_the_store_confirms_nothing() -> None:
    """The entries may have an outdated configuration or a withdrawn key."""

    async def scenario(fleet: Fleet) -> None:
        assert await fleet.fetch('s2', '/read/1') == 200
        fleet.store.behaviour = StoreBehaviour.SILENT
        async with asyncio.timeout(TIMEOUT_S):
            while await fleet.fetch('s2', '/read/1') != 503:
                await asyncio.sleep(0.2)
        # Entries go on serving with the configuration that they have.
        assert await fleet.fetch('l1', '/read/1') == 200

    _run_fleet(scenario)


def test_standby_that_stops_cuts_no_request() -> None:
    """A planned stop would abort requests that it forwards to an entry."""

    async def scenario(fleet: Fleet) -> None:
        fleet.server.work_s = 1.0
        status_task = asyncio.create_task(fleet.fetch('s2', '/read/1'))
        await asyncio.sleep(0.3)
        stopping = asyncio.create_task(fleet.daemons.pop('s2').stop())
        assert await status_task == 200
        await stopping

    _run_fleet(scenario)


def test_entries_serve_what_the_whole_fleet_may() -> None:
    """If the daemons did not lend shares, half of the rate would be refused.

    The standbys hold shares of the limit, but get no requests.
    """

    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(4)
        statuses = [
            await fleet.fetch('l1', f'/read/{number}') for number in range(24)
        ]
        # The burst and the slack are 28 tokens; the own share of l1 is 7.
        assert statuses.count(200) >= 20

    _run_fleet(scenario)


async def _measure_load_time() -> float:
    """Return the time until a restarted daemon watches the store, seconds."""
    store = StoreStandin()
    instance = {'zone': 'a1', 'address': '127.0.0.1', 'cores': 0.86}
    store.put('geraniumshelf-instances', 'n1', instance)
    store.put('config', 'main', make_configuration())
    settings = make_settings(store.listen(), cores=0.86)
    daemon = EdgeDaemon(
        settings,
        ObjectStore(settings.store_address, settings.ip),
        PlatformHeaders(),
    )
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await daemon.start()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not any('config?watch' in call for call in store.calls):
                await asyncio.sleep(0.005)
        return loop.time() - started_at
    finally:
        await daemon.close()
        await store.close()


def test_restarted_entry_loads_as_soon_as_it_knows_the_others() -> None:
    """After a power loss, all callers are refused until it has loaded."""

    async def scenario() -> None:
        # Other load on the machine may delay some of the starts.
        load_times_s = [await _measure_load_time() for _ in range(5)]
        assert min(load_times_s) < _ROLE_INTERVAL_S

    run_scenario(scenario)
