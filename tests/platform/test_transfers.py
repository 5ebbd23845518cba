"""Guards answers of the store that take long to transfer."""

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
from geraniumshelf_daemon.edge.interface import SiteKind
from geraniumshelf_daemon.platform.client import _TrackedTCPClient, do_nothing
from geraniumshelf_platform.store import ObjectStore

_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
_FIRST = StoreRevision(0, 1)
_PIECES = 15
_PAUSE_S = 0.1


@define(eq=False)
class _SlowLink:
    """Sends one long answer piece by piece to each caller.

    Attributes:
        begins_after_s: Time until the head of the answer.
        sent: Pieces that were sent, over all callers.
        ended: Set when a caller closes its connection early.
    """

    content: bytes
    begins_after_s: float = 0
    sent: int = 0
    ended: asyncio.Event = field(factory=asyncio.Event)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(self.begins_after_s)
        writer.write(
            _HEAD + f'Content-Length: {len(self.content)}\r\n\r\n'.encode()
        )
        size = len(self.content) // _PIECES + 1
        for begin in range(0, len(self.content), size):
            await asyncio.sleep(_PAUSE_S)
            if reader.at_eof() or reader.exception() is not None:
                self.ended.set()
                break
            writer.write(self.content[begin : begin + size])
            self.sent += 1
        writer.close()


def _page() -> bytes:
    import json

    event = {
        'object': {
            'metadata': {'name': 'main', 'revision': 7},
            'spec': make_configuration(3),
        },
        'removed': False,
    }
    return json.dumps({'events': [event], 'store_revision': 7}).encode()


def test_long_answer_to_a_watch_may_outlast_its_wait() -> None:
    """A large configuration takes longer than the margin of a watch."""

    async def scenario() -> None:
        link = _SlowLink(_page())
        server = await asyncio.start_server(link.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        view = await store.watch_records(
            SiteKind.CONFIGURATION, _FIRST, 0.1, do_nothing
        )
        assert view.revision == StoreRevision(0, 7)
        store.close()
        server.close()

    run_scenario(scenario)


def test_answer_that_does_not_begin_is_given_up_in_time() -> None:
    """A watch that was silenced on the way must be noticed."""

    async def scenario() -> None:
        link = _SlowLink(_page(), begins_after_s=5)
        server = await asyncio.start_server(link.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        begun = asyncio.get_running_loop().time()
        with pytest.raises(PlatformError):
            await store.watch_records(
                SiteKind.CONFIGURATION, _FIRST, 0.1, do_nothing
            )
        assert asyncio.get_running_loop().time() - begun < 4
        store.close()
        server.close()

    run_scenario(scenario)


def test_call_that_is_dropped_ends_its_transfer() -> None:
    """Transfers that nobody waits for filled the links between regions."""

    async def scenario() -> None:
        link = _SlowLink(_page())
        server = await asyncio.start_server(link.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        call = asyncio.ensure_future(
            store.watch_records(SiteKind.CONFIGURATION, _FIRST, 0.1, do_nothing)
        )
        while not link.sent:
            await asyncio.sleep(0.02)
        call.cancel()
        async with asyncio.timeout(10):
            await link.ended.wait()
        assert link.sent < _PIECES
        store.close()
        server.close()

    run_scenario(scenario)


def test_call_that_is_dropped_while_it_connects_asks_nothing() -> None:
    """Its connection stayed open for seconds, with an answer for nobody."""

    async def scenario() -> None:
        ended = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read()
            ended.set()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        store = ObjectStore(f'127.0.0.1:{port}', '127.0.0.1')
        call = asyncio.ensure_future(
            store.watch_records(SiteKind.CONFIGURATION, _FIRST, 10, do_nothing)
        )
        await asyncio.sleep(0)
        call.cancel()
        async with asyncio.timeout(5):
            await ended.wait()
        store.close()
        server.close()

    run_scenario(scenario)


def test_silent_connection_of_a_long_watch_is_closed_by_the_system() -> None:
    """A daemon that waits for 25 s would learn of nothing until then."""

    async def scenario() -> None:
        store = StoreStandin()
        host, _, port = store.listen().rpartition(':')
        stream = await _TrackedTCPClient(None).connect(host, int(port))
        wanted = {
            (SOL_SOCKET, SO_KEEPALIVE): 1,
            (IPPROTO_TCP, TCP_KEEPIDLE): 1,
            (IPPROTO_TCP, TCP_KEEPINTVL): 1,
            (IPPROTO_TCP, TCP_KEEPCNT): 2,
        }
        found = {key: stream.socket.getsockopt(*key) for key in wanted}
        stream.close()
        await store.close()
        assert found == wanted

    run_scenario(scenario)
