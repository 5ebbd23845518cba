"""Runs a front end and backend servers on loopback in one process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from hashlib import sha256
from random import Random

from attrs import define, evolve, field, frozen

from geraniumshelf_core.configuration.model import BackendServer as ServerEntry
from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    Key,
    Region,
    Route,
    Service,
    ShiftCap,
    Zone,
)
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.idempotency.request_id import (
    current_window,
    request_id_prefix,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.front import assembly
from geraniumshelf_daemon.front.front import Front
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.lookups.interface import LookupResponse
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_standins.backend.server import BackendServer
from geraniumshelf_standins.backend.state import (
    BackendState,
    Faults,
    RequestRecord,
)

KEY = 'key-of-almaz'
OTHER_KEY = 'key-of-bekele'
TIMEOUT_S = 20


class NoPeers:
    """Peer links of a daemon without peers."""

    def register(self, message_type, handler):
        pass

    def connected_peers(self):
        return ()

    def find(self, slot, incarnation):
        return None


@define
class StubDependencies:
    """Stubs of all other parts of the daemon that the front end uses."""

    revision: Configuration
    cut_off: bool = False
    rate_refusal: RequestRefused | None = None
    failover: tuple[str, ...] = ()
    acquired: list[str] = field(factory=list)

    def find(self, key: str) -> Key | None:
        digest = sha256(key.encode()).hexdigest()
        keys = {entry.digest: entry for entry in self.revision.keys}
        return keys.get(digest)

    def is_cut_off(self, now: Nanoseconds) -> bool:
        return self.cut_off

    async def acquire(self, account: str, wait_deadline: Nanoseconds) -> None:
        if self.rate_refusal is not None:
            raise self.rate_refusal
        self.acquired.append(account)

    def look_up(self, service: str, client: str, now: int) -> LookupResponse:
        if service != 'desk':
            raise RequestRefused(ResultCode.UNKNOWN_SERVICE, 'no service')
        return LookupResponse(b'{"entries": []}', 5)

    def rank_regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        return self.failover

    def record_spill(self, service: str, region: str, now: Nanoseconds) -> None:
        pass

    def record_arrival(self, service: str, now: Nanoseconds) -> None:
        pass

    def record_start(self, service: str, client: str, now: Nanoseconds) -> None:
        pass

    def record_completion(
        self, service: str, client: str, now: Nanoseconds
    ) -> None:
        pass


@frozen
class Response:
    """A response as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool

    @property
    def code(self) -> int:
        return int(self.headers.get('geraniumshelf-code', '0'))

    @property
    def ran(self) -> str:
        return self.headers.get('geraniumshelf-ran', '')


@define
class FrontHarness:
    """A running front end and its backend servers."""

    stubs: StubDependencies
    front: Front
    port: int
    servers: list[BackendServer]
    pool: ConnectionPool
    decider: RunDecider
    dispatcher: Dispatcher

    @property
    def records(self) -> list[RequestRecord]:
        return [record for s in self.servers for record in s.backend.records]

    def id_prefix(self) -> str:
        return request_id_prefix('a1/0', 7, current_window(current_time()))

    def apply(self, configuration: Configuration) -> None:
        self.stubs.revision = configuration
        self.front.apply(configuration)

    def set_faults(self, index: int, **changes) -> None:
        backend = self.servers[index].backend
        backend.faults = evolve(backend.faults, **changes)

    async def connect(self) -> 'Connection':
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        return Connection(reader, writer)

    async def request(self, method='GET', path='/desk/list', **kw) -> Response:
        connection = await self.connect()
        try:
            return await connection.request(method, path, **kw)
        finally:
            connection.close()


@define
class Connection:
    """A connection of a caller; requests are written as raw bytes."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def close(self) -> None:
        self.writer.close()

    def send(self, method, path, headers=(), body=b'', key=KEY, length=None):
        lines = [f'{method} {path} HTTP/1.1', 'Host: entry']
        if key:
            lines.append(f'Geraniumshelf-Key: {key}')
        lines.extend(headers)
        if body or length is not None or method == 'POST':
            size = len(body) if length is None else length
            lines.append(f'Content-Length: {size}')
        self.writer.write('\r\n'.join((*lines, '', '')).encode() + body)

    async def request(self, method='GET', path='/desk/list', **kw) -> Response:
        self.send(method, path, **kw)
        return await self.receive()

    async def receive(self) -> Response:
        return await asyncio.wait_for(self._receive(), TIMEOUT_S)

    async def _receive(self) -> Response:
        head = await self.reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().rstrip().split('\r\n')
        headers = {
            name.lower(): text
            for name, _, text in (line.partition(': ') for line in lines)
        }
        status = int(first.split()[1])
        try:
            if headers.get('transfer-encoding') == 'chunked':
                body = await self._read_chunks()
            else:
                body = await self.reader.readexactly(
                    int(headers.get('content-length', '0'))
                )
        except (asyncio.IncompleteReadError, OSError):
            return Response(status, headers, b'', False)
        return Response(status, headers, body, True)

    async def _read_chunks(self) -> bytes:
        body = b''
        while size := int(await self.reader.readuntil(b'\r\n'), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return body


def digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def configuration(ports: list[int], progress_ms: int = 5000, slots: int = 2):
    cap = ShiftCap(100_000, 5)
    service = Service(
        'desk',
        (
            Route('/list', ('GET', 'HEAD', 'PUT')),
            Route('/open', ('GET',), is_open=True),
            Route('/sale', ('POST',), is_idempotent=False),
            Route('/later', ('GET',), may_wait=True),
        ),
        cap,
        progress_timeout_ms=progress_ms,
    )
    return Configuration(
        'test',
        services=(service,),
        regions=(Region('a'),),
        zones=(Zone('a1', 'a', 3),),
        servers=tuple(
            ServerEntry(f's{i}', 'desk', 'a1', f'127.0.0.1:{port}', slots, 9)
            for i, port in enumerate(ports)
        ),
        accounts=(ClientAccount('almaz', 9, 9), ClientAccount('bekele', 9, 9)),
        keys=(
            Key(digest(KEY), 'almaz', 'k1'),
            Key(digest(OTHER_KEY), 'bekele', 'k2'),
        ),
    )


@asynccontextmanager
async def front_harness(
    servers: int = 1, progress_ms: int = 5000, slots: int = 2, extra_ports=()
) -> AsyncIterator[FrontHarness]:
    backends = [
        BackendServer(BackendState(f's{i}', 'desk', slots, Faults()))
        for i in range(servers)
    ]
    ports = [backend.listen('127.0.0.1', 0) for backend in backends]
    revision = configuration([*ports, *extra_ports], progress_ms, slots)
    stubs = StubDependencies(revision)
    peers = NoPeers()
    decider = RunDecider('me', peers, peers, current_time)
    decider.add_issuer('a1/0', 7)
    place, random = Place('a1', 'a'), Random(1)
    path = assembly.build_data_path(
        assembly.DataPathDependencies(
            place, *(stubs,) * 5, decider, stubs, current_time, random
        )
    )
    front, pool, dispatcher = path.front, path.pool, path.dispatcher
    front.apply(revision)
    port = front.listen('127.0.0.1', 0)
    try:
        yield FrontHarness(
            stubs, front, port, backends, pool, decider, dispatcher
        )
    finally:
        await front.drain(current_time())
        pool.close()
        for backend in backends:
            await backend.close()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


def run(scenario: Callable[[], object]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 3 * TIMEOUT_S))


def outcomes(harness) -> list[str]:
    return sorted(record.outcome for record in harness.records)
