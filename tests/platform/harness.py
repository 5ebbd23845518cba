"""Runs an edge daemon with the platform adapter and in-process stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import ExitStack, asynccontextmanager, suppress
from random import Random, SystemRandom
from socket import socket
from typing import Any

from attrs import define, evolve, field
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreStandin

from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.daemon import EdgeDaemon
from geraniumshelf_daemon.edge.settings import EdgeSettings, OperatorBounds
from geraniumshelf_platform.headers import PlatformHeaders
from geraniumshelf_platform.store import ObjectStore

TIMEOUT_S = 15.0
HOST = 'shop.example'
_PORT_RANGE = range(10_000, 32_000)
REGIONS_BY_ZONE = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
BOUNDS = OperatorBounds(
    contact_time=3 * SECOND_NS,
    apply_time=3 * SECOND_NS,
    grace_period=4 * SECOND_NS,
    retry_ratio=0.2,
    retry_slack=100,
    retry_window=10 * SECOND_NS,
    quota_overshoot=0.1,
    quota_slack=20,
    quota_window=5 * SECOND_NS,
    cold_overshoot=1.5,
    cold_slack=5,
    max_ttl=5 * SECOND_NS,
    max_shift=0.15,
    # Short, so that server entries expire during the outages of the tests.
    server_heartbeat_interval=SECOND_NS * 2 // 5,
)


def make_path(prefix: str, kind: str = 'safe', **fields: Any) -> dict[str, Any]:
    """Return a path of a configured host, routed to the service ``desk``."""
    return {
        'name': f'r{prefix}',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_s': 2,
        'target_latency_s': 0.3,
        'priority': 1,
        'service': 'desk',
        'max_attempts': 2,
        'public': False,
        'session_affinity': True,
        'allowed_regions': [],
        **fields,
    }


def make_configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration with a safe, unsafe, upload and public route."""
    return {
        'version': version,
        'services': [
            {
                'name': 'desk',
                'health_path': '/health',
                'max_conns': 300,
                'cold_start_s': 1.0,
                'cold_per_s': 15.0,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1000000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        'tenants': [
            {
                'name': 'shop',
                'api_keys': ['key'],
                'rate_per_s': 0,
                'burst': 0,
                'allowed_regions': [],
            }
        ],
        'hosts': [
            {
                'host': HOST,
                'paths': [
                    make_path('/read/'),
                    make_path('/sale/', 'unsafe'),
                    make_path('/photo/', 'upload'),
                    make_path('/open/', public=True),
                ],
            }
        ],
        **fields,
    }


@define
class CallerResponse:
    """A response as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes


@define(eq=False)
class CallerStandin:
    """A caller with one connection to the daemon."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(
        self, target: str, method: str = 'GET', body: bytes = b'', **extra: str
    ) -> None:
        """Send a request; ``extra`` headers override the defaults."""
        headers = {
            'Host': HOST,
            'X-Request-Id': f'id-{target}',
            'X-Deadline-Ms': '2000',
            'X-Api-Key': 'key',
            **{name.replace('_', '-'): text for name, text in extra.items()},
        }
        if body:
            headers.setdefault('Content-Length', str(len(body)))
        lines = [f'{method} {target} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers.items())
        self.writer.write('\r\n'.join((*lines, '', '')).encode() + body)

    async def receive(self) -> CallerResponse:
        """Return the next response."""
        async with asyncio.timeout(TIMEOUT_S):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin1')
            first, *lines = head.strip().split('\r\n')
            headers = {}
            for line in lines:
                name, _, text = line.partition(':')
                headers[name.lower()] = text.strip()
            length = int(headers.get('content-length', 0))
            body = await self.reader.readexactly(length)
            return CallerResponse(int(first.split(' ')[1]), headers, body)

    async def fetch(self, target: str, **fields: Any) -> CallerResponse:
        """Send a request and return its response."""
        self.send(target, **fields)
        return await self.receive()

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


@define(eq=False)
class EdgeHarness:
    """A running daemon with its store, servers and callers."""

    store: StoreStandin
    servers: dict[str, ServerStandin]
    daemon: EdgeDaemon
    settings: EdgeSettings
    callers: list[CallerStandin] = field(factory=list)

    async def connect(self) -> CallerStandin:
        """Return a caller with a new connection to the daemon."""
        return await self._connect(self.settings.front_address)

    async def look_up(self, target: str) -> CallerResponse:
        """Return the response of the daemon's directory to a lookup."""
        caller = await self._connect(self.settings.directory_address)
        return await caller.fetch(target)

    async def read_metrics(self) -> str:
        """Return the metrics that the daemon exposes."""
        caller = await self._connect(self.settings.metrics_address)
        return (await caller.fetch('/metrics')).body.decode()

    async def check_ready(self) -> int:
        """Return the status of the readiness check."""
        caller = await self._connect(self.settings.ready_address)
        return (await caller.fetch('/ready')).status

    async def wait_until(self, is_met: Callable[[], Awaitable[bool]]) -> None:
        """Wait until a condition is met."""
        async with asyncio.timeout(TIMEOUT_S):
            while not await is_met():
                await asyncio.sleep(0.02)

    async def wait_until_ready(self) -> None:
        """Wait until the daemon reports that it is ready."""

        async def is_ready() -> bool:
            return await self.check_ready() == 200

        await self.wait_until(is_ready)

    async def _connect(self, address: str) -> CallerStandin:
        caller = await connect_to(address)
        self.callers.append(caller)
        return caller


async def connect_to(address: str) -> CallerStandin:
    """Return a caller with a new connection to an address."""
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(TIMEOUT_S):
        return CallerStandin(*await asyncio.open_connection(host, int(port)))


@asynccontextmanager
async def running_harness(
    servers: dict[str, ServerStandin],
    configuration: dict[str, Any] | None = None,
    zone_of: Callable[[str], str] = lambda _: 'a1',
) -> AsyncIterator[EdgeHarness]:
    """Run servers and a daemon, which is ready if it is configured."""
    store = StoreStandin()
    store_address = store.listen()
    for name, server in servers.items():
        await server.listen()
        store.put('servers', name, server.make_entry('desk', zone_of(name)))
    if configuration is not None:
        store.put('config', 'main', configuration)
    settings = make_settings(store_address)
    daemon = EdgeDaemon(
        settings,
        ObjectStore(store_address, '127.0.0.1'),
        PlatformHeaders(),
        random=Random(1),
    )
    await daemon.start()
    harness = EdgeHarness(store, servers, daemon, settings)
    try:
        if configuration is not None:
            await harness.wait_until_ready()
        yield harness
    finally:
        for caller in harness.callers:
            caller.close()
        await daemon.close()
        for server in servers.values():
            server.close()
        await store.close()


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario; fail if it takes too long."""

    async def bounded() -> None:
        async with asyncio.timeout(3 * TIMEOUT_S):
            await scenario()

    asyncio.run(bounded())


def make_settings(store_address: str, **fields: Any) -> EdgeSettings:
    """Return the settings of a daemon; fields override the defaults."""
    ip = fields.pop('ip', '127.0.0.1')
    ports = find_free_ports(5, ip)
    return evolve(
        EdgeSettings(
            name='n1',
            zone='a1',
            regions=REGIONS_BY_ZONE,
            ip=ip,
            cores=4.0,
            front_address=f'{ip}:{ports[0]}',
            ready_address=f'{ip}:{ports[1]}',
            directory_address=f'{ip}:{ports[2]}',
            peer_port=ports[3],
            seeds=(),
            metrics_address=f'{ip}:{ports[4]}',
            store_address=store_address,
            bounds=evolve(BOUNDS),
        ),
        **fields,
    )


def find_free_ports(count: int, ip: str = '127.0.0.1') -> list[int]:
    """Return distinct free ports of an IP address.

    They are below the ephemeral port range, as an outgoing connection could
    otherwise take a port before a daemon listens on it.
    """
    candidates = SystemRandom().sample(_PORT_RANGE, len(_PORT_RANGE))
    with ExitStack() as sockets:
        ports: list[int] = []
        while len(ports) < count:
            probe = sockets.enter_context(socket())
            with suppress(OSError):
                probe.bind((ip, candidates.pop()))
                ports.append(int(probe.getsockname()[1]))
        return ports
