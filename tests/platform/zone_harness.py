"""Runs two daemons of a zone, one of which the store has not answered."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

from attrs import define, evolve, field
from tests.platform.harness import (
    BOUNDS,
    TIMEOUT_S,
    CallerStandin,
    connect_to,
    find_free_ports,
    make_configuration,
    make_settings,
    run_scenario,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin
from tests.platform.store_standin import StoreStandin

from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.daemon import EdgeDaemon
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_platform.headers import PlatformHeaders
from geraniumshelf_platform.store import ObjectStore

SLOW_S = 1.2
_IPS = {'n1': '127.0.0.21', 'n2': '127.0.0.22'}


class TwoSpeedServer(ServerStandin):
    """Works longer for targets with ``slow`` in their name."""

    async def _handle(
        self, request: ReceivedRequest, reader: asyncio.StreamReader
    ) -> bytes:
        if 'slow' in request.target:
            await asyncio.sleep(SLOW_S)
        return await super()._handle(request, reader)


@define(eq=False)
class Zone:
    """The entry ``n2`` and ``n1``, which the store has not answered yet."""

    store: StoreStandin
    server: ServerStandin
    settings: dict[str, EdgeSettings]
    daemons: dict[str, EdgeDaemon] = field(factory=dict)

    async def connect(self) -> CallerStandin:
        """Return a caller of the daemon that has not loaded."""
        return await connect_to(self.settings['n1'].front_address)

    async def load(self) -> None:
        """Let the store answer, and wait until the daemon has loaded."""
        self.store.ignored_ips.clear()
        await self.wait_until(lambda: self.daemons['n1']._state.is_loaded)

    async def wait_until(self, is_met: Callable[[], bool]) -> None:
        """Wait until a condition is met."""
        async with asyncio.timeout(TIMEOUT_S):
            while not is_met():
                await asyncio.sleep(0.02)

    def targets(self) -> list[str]:
        """Return the targets of the requests that the server ran."""
        return [request.target for request in self.server.received]


@asynccontextmanager
async def running_zone(
    server: ServerStandin, **configuration: Any
) -> AsyncIterator[Zone]:
    """Run both daemons with a server; the block begins once ``n2`` serves."""
    store = StoreStandin()
    store_address = store.listen()
    await server.listen()
    store.put('servers', 'i-1', server.make_entry('desk', 'a1'))
    store.put('config', 'main', make_configuration(**configuration))
    store.ignored_ips.add(_IPS['n1'])
    [peer_port] = find_free_ports(1)
    # The heartbeat interval of servers bounds how long the report that the
    # store is available counts, and the apply time the age of a configuration.
    bounds = evolve(
        BOUNDS,
        apply_time=5 * SECOND_NS,
        server_heartbeat_interval=SECOND_NS * 6 // 5,
    )
    settings = {
        name: make_settings(
            store_address,
            name=name,
            ip=ip,
            peer_port=peer_port,
            seeds=(_IPS['n2'],),
            bounds=bounds,
        )
        for name, ip in _IPS.items()
    }
    zone = Zone(store, server, settings)
    for number, (name, own) in enumerate(settings.items()):
        daemon = EdgeDaemon(
            own,
            ObjectStore(store_address, own.ip),
            PlatformHeaders(),
            random=Random(number),
        )
        await daemon.start()
        zone.daemons[name] = daemon
    try:
        presence = zone.daemons['n1']._presence
        await zone.wait_until(
            lambda: (
                'n2' in presence.peers
                and presence.peers['n2'].heartbeat.is_ready
            )
        )
        yield zone
    finally:
        for daemon in zone.daemons.values():
            await daemon.close()
        server.close()
        await store.close()


def run_in_zone(
    scenario: Callable[[Zone], Awaitable[None]],
    server: ServerStandin | None = None,
    **configuration: Any,
) -> None:
    """Run a scenario in a zone, with a server of two speeds by default."""

    async def run_scenario_there() -> None:
        used = server or TwoSpeedServer('i-1', slots=40)
        async with running_zone(used, **configuration) as zone:
            await scenario(zone)

    run_scenario(run_scenario_there)
