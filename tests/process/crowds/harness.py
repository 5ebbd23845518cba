"""Runs the daemon's process with lowered limits beside in-process stand-ins."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from attrs import asdict, define, field, frozen
from tests.platform.harness import (
    HOST,
    CallerResponse,
    connect_to,
    find_free_ports,
    make_configuration,
    make_path,
)
from tests.platform.server_standin import ReceivedRequest, ServerStandin
from tests.platform.store_standin import StoreStandin

TIMEOUT_S = 60.0
# Length of the responses of the servers to ``/read/large``.
LARGE_BYTES = 200_000
_SAMPLE_INTERVAL_S = 0.01
_ROOT = Path(__file__).parents[3]
_KIB_PER_MB = 1024


@frozen
class ProcessLimits:
    """What the process may use, all of which its settings name.

    A daemon without callers uses 35 MB and 16 descriptors.

    Attributes:
        memory_mb: Memory, MB.
        max_fds: Open descriptors.
    """

    memory_mb: int = 96
    max_fds: int = 160


@define(eq=False)
class CrowdHarness:
    """A daemon process and the callers that trouble it.

    Attributes:
        addresses: Address of each port, by the name of the port.
        process: The process of the daemon.
        store: The store that it follows.
        limits: What the process may use.
        max_open_fds: Highest number of open descriptors that was seen.
        writers: Connections of the crowd, kept open until the end.
    """

    addresses: dict[str, str]
    process: asyncio.subprocess.Process
    store: StoreStandin
    limits: ProcessLimits
    max_open_fds: int = 0
    writers: list[asyncio.StreamWriter] = field(factory=list)

    async def send(self, port: str, *parts: bytes) -> None:
        """Connect, send parts and leave the connection open, unread.

        The daemon may close the connection at any time.
        """
        host, _, number = self.addresses[port].rpartition(':')
        with suppress(OSError):
            # A small limit pauses reading, so that the kernel's buffers fill.
            _, writer = await asyncio.open_connection(
                host, int(number), limit=1
            )
            self.writers.append(writer)
            for part in parts:
                writer.write(part)
                async with asyncio.timeout(1):
                    await writer.drain()

    async def send_crowd(
        self, count: int, port: str, parts: Callable[[int], tuple[bytes, ...]]
    ) -> None:
        """Send the parts of each member of a crowd, all at the same time."""
        await asyncio.gather(
            *(self.send(port, *parts(member)) for member in range(count))
        )

    async def fetch(
        self, target: str, port: str = 'front', **fields: Any
    ) -> CallerResponse:
        """Return the response to an ordinary request."""
        caller = await connect_to(self.addresses[port])
        try:
            return await caller.fetch(target, **fields)
        finally:
            caller.close()

    async def check(self) -> None:
        """Check that the process lives, keeps its limits and serves."""
        # Time for the daemon to read what the kernel still buffers.
        await asyncio.sleep(1)
        response = await self._fetch_until_served()
        assert self.process.returncode is None
        assert response.body == b'/read/ordinary'
        max_memory_mb = self._read_max_memory_mb()
        assert max_memory_mb <= self.limits.memory_mb
        assert self.max_open_fds <= self.limits.max_fds

    async def _fetch_until_served(self) -> CallerResponse:
        # The servers are busy with the requests of the crowd, so the daemon
        # may truthfully refuse a request with a time to retry after.
        while True:
            with suppress(OSError, EOFError):
                response = await self.fetch('/read/ordinary')
                if 'retry-after' not in response.headers:
                    return response
            assert self.process.returncode is None
            await asyncio.sleep(0.2)

    async def sample_fds(self) -> None:
        """Record the highest number of open descriptors."""
        while True:
            with suppress(OSError):
                open_fds = len(os.listdir(f'/proc/{self.process.pid}/fd'))
                self.max_open_fds = max(self.max_open_fds, open_fds)
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _read_max_memory_mb(self) -> float:
        status = Path(f'/proc/{self.process.pid}/status').read_text('ascii')
        line = next(one for one in status.split('\n') if 'VmHWM' in one)
        return int(line.split()[1]) / _KIB_PER_MB


_LIMITS = ProcessLimits()


def make_head(method: str, target: str, **fields: str) -> bytes:
    """Return the head of a request with a key."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        'X-Api-Key: key',
        'X-Deadline-Ms: 15000',
        *(f'{name.replace("_", "-")}: {text}' for name, text in fields.items()),
    ]
    return '\r\n'.join((*lines, '', '')).encode()


def run_crowd(
    folder: Path,
    scenario: Callable[[CrowdHarness], Coroutine[Any, Any, None]],
    faulty: Sequence[ServerStandin] = (),
    limits: ProcessLimits = _LIMITS,
) -> None:
    """Run a scenario with a daemon; fail if it takes too long.

    Each faulty server has a service and a route of its own, ``/NAME/``.
    """

    async def run() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            async with _running_harness(folder, faulty, limits) as harness:
                await scenario(harness)

    asyncio.run(run())


def _respond(request: ReceivedRequest) -> bytes | None:
    if not request.target.startswith('/read/large'):
        return None
    head = (
        'HTTP/1.1 200 x\r\nX-Instance-Id: s1\r\nX-Response-Signature: s\r\n'
        f'X-Request-Id: {request.headers.get("x-request-id", "")}\r\n'
        f'Content-Length: {LARGE_BYTES}\r\n\r\n'
    )
    return head.encode() + bytes(LARGE_BYTES)


def _make_crowd_configuration(names: Sequence[str]) -> dict[str, Any]:
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 67_108_864,
        'header_timeout_s': 1,
        'idle_timeout_s': 3,
    }
    paths = [
        make_path('/read/', timeout_s=15),
        make_path('/photo/', 'upload', timeout_s=15),
        *(make_path(f'/{name}/', timeout_s=4, service=name) for name in names),
    ]
    configuration = make_configuration(
        limits=limits, hosts=[{'host': HOST, 'paths': paths}]
    )
    [service] = configuration['services']
    configuration['services'] += [{**service, 'name': name} for name in names]
    return configuration


def _make_settings(
    store_address: str, ports: list[int], limits: ProcessLimits
) -> dict[str, Any]:
    listen = ('front', 'ready', 'directory')
    return {
        'node_name': 'n1',
        'ip': '127.0.0.1',
        'zone': 'a1',
        'zones': {'a1': 'a'},
        'listen': {
            name: f'127.0.0.1:{port}'
            for name, port in zip(listen, ports, strict=False)
        },
        'internal_ports': [ports[3]],
        'limits': asdict(limits),
        'bounds': {
            'contact_s': 3,
            'grace_s': 4,
            'retry_budget_ratio': 0.2,
            'retry_window_s': 10,
            'quota_window_s': 5,
            'ttl_max_s': 5,
        },
        'platform': {'address': store_address},
    }


@asynccontextmanager
async def _running_harness(
    folder: Path, faulty: Sequence[ServerStandin], limits: ProcessLimits
) -> AsyncIterator[CrowdHarness]:
    store = StoreStandin()
    server = ServerStandin('s1', slots=1000, make_response=_respond)
    await server.listen()
    settings = _make_settings(
        store.listen(), ports := find_free_ports(5), limits
    )
    store.put('servers', 's1', server.make_entry('desk', 'a1'))
    for one in faulty:
        await one.listen()
        store.put('servers', one.name, one.make_entry(one.name, 'a1'))
    names = [one.name for one in faulty]
    store.put('config', 'main', _make_crowd_configuration(names))
    path = folder / 'settings.json'
    path.write_text(json.dumps(settings), 'utf-8')
    with (folder / 'log').open('wb') as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *('-m', 'geraniumshelf_platform.main'),
            *('--metrics-port', str(ports[4])),
            env={
                **os.environ,
                'GERANIUMSHELF_CONFIG': str(path),
                'PYTHONPATH': str(_ROOT / 'platform'),
            },
            stdout=log,
            stderr=log,
        )
    addresses = {
        **settings['listen'],
        'metrics': f'127.0.0.1:{ports[4]}',
    }
    harness = CrowdHarness(addresses, process, store, limits)
    sampler = asyncio.create_task(harness.sample_fds())
    try:
        await _wait_until_serving(harness)
        yield harness
    finally:
        sampler.cancel()
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        for writer in harness.writers:
            writer.close()
        for one in (server, *faulty):
            one.close()
        await store.close()


async def _wait_until_serving(harness: CrowdHarness) -> None:
    while True:
        with suppress(OSError, EOFError):
            if (await harness.fetch('/read/first')).status == 200:
                return
        await asyncio.sleep(0.05)
