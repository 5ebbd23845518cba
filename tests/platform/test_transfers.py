"""Tests of responses of the store that take long to transfer."""

import asyncio
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)

import pytest
from attrs import define, field
from tests.platform.harness import make_configuration, run_scenario
from tests.platform.store_standin import StoreStandin

from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_daemon.edge.interface import RecordKind
from geraniumshelf_daemon.platform.client import _TrackedTCPClient, do_nothing
from geraniumshelf_platform.store import ObjectStore

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
_REVISION = StoreRevision(0, 1)
_PIECE_COUNT = 15
_PIECE_INTERVAL_S = 0.1


@define(eq=False)
class _SlowServer:
    """Sends the same long response in pieces to each caller.

    Attributes:
        content: Body of the response.
        head_delay_s: Time until the head of the response, seconds.
        sent_pieces: Number of pieces sent to all callers.
        closed: Set when a caller closes its connection early.
    """

    content: bytes
    head_delay_s: float = 0
    sent_pieces: int = 0
    closed: asyncio.Event = field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one call."""
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(self.head_delay_s)
        writer.write(
            _HEAD + f'Content-Length: {len(self.content)}\r\n\r\n'.encode()
        )
        size = len(self.content) // _PIECE_COUNT + 1
        for start in range(0, len(self.content), size):
            await asyncio.sleep(_PIECE_INTERVAL_S)
            if reader.at_eof() or reader.exception() is not None:
                self.closed.set()
                break
            writer.write(self.content[start : start + size])
            self.sent_pieces += 1
        writer.close()


def _build_watch_response() -> bytes:
    import json

    event = {
        'object': {
            'metadata': {'name': 'main', 'revision': 7},
            'spec': make_configuration(3),
        },
        'removed': False,
    }
    return json.dumps({'events': [event], 'store_revision': 7}).encode()


def test_long_response_to_a_watch_may_outlast_its_wait() -> None:
    """A large configuration takes long to transfer.

    The transfer may exceed the margin of the timeout of a watch over its wait.
    """

    async def scenario() -> None:
        slow_server = _SlowServer(_build_watch_response())
        server = await asyncio.start_server(slow_server.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        view = await store.watch_records(
            RecordKind.CONFIGURATION, _REVISION, 0.1, do_nothing
        )
        assert view.revision == StoreRevision(0, 7)
        store.close()
        server.close()

    run_scenario(scenario)


def test_response_that_does_not_begin_is_given_up_in_time() -> None:
    """A watch whose packets are dropped by the network must be detected."""

    async def scenario() -> None:
        slow_server = _SlowServer(_build_watch_response(), head_delay_s=5)
        server = await asyncio.start_server(slow_server.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(PlatformError):
            await store.watch_records(
                RecordKind.CONFIGURATION, _REVISION, 0.1, do_nothing
            )
        assert asyncio.get_running_loop().time() - started_at < 4
        store.close()
        server.close()

    run_scenario(scenario)


def test_call_that_is_dropped_ends_its_transfer() -> None:
    """Transfers of cancelled calls used up the links between regions."""

    async def scenario() -> None:
        slow_server = _SlowServer(_build_watch_response())
        server = await asyncio.start_server(slow_server.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        watch = asyncio.ensure_future(
            store.watch_records(
                RecordKind.CONFIGURATION, _REVISION, 0.1, do_nothing
            )
        )
        while not slow_server.sent_pieces:
            await asyncio.sleep(0.02)
        watch.cancel()
        async with asyncio.timeout(10):
            await slow_server.closed.wait()
        assert slow_server.sent_pieces < _PIECE_COUNT
        store.close()
        server.close()

    run_scenario(scenario)


def test_call_that_is_dropped_while_it_connects_asks_nothing() -> None:
    """Connections of cancelled calls stayed open for seconds.

    The store sent responses on them that no daemon read.
    """

    async def scenario() -> None:
        closed = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        watch = asyncio.ensure_future(
            store.watch_records(
                RecordKind.CONFIGURATION, _REVISION, 10, do_nothing
            )
        )
        await asyncio.sleep(0)
        watch.cancel()
        async with asyncio.timeout(5):
            await closed.wait()
        store.close()
        server.close()

    run_scenario(scenario)


def test_silent_connection_of_a_long_watch_is_closed_by_the_system() -> None:
    """Without keep-alive, a watch of 25 s would notice a lost connection late.

    Until its end, the daemon would learn of no changes.
    """

    async def scenario() -> None:
        store = StoreStandin()
        host, _, port = store.listen().rpartition(':')
        stream = await _TrackedTCPClient(None).connect(host, int(port))
        expected = {
            (SOL_SOCKET, SO_KEEPALIVE): 1,
            (IPPROTO_TCP, TCP_KEEPIDLE): 1,
            (IPPROTO_TCP, TCP_KEEPINTVL): 1,
            (IPPROTO_TCP, TCP_KEEPCNT): 2,
        }
        actual = {key: stream.socket.getsockopt(*key) for key in expected}
        stream.close()
        await store.close()
        assert actual == expected

    run_scenario(scenario)
