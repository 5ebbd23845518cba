"""Guards the reuse of connections to backend servers."""

import asyncio

from tests.daemon.front.harness import run
from tornado.httputil import HTTPHeaders
from tornado.tcpclient import TCPClient

from geraniumshelf_daemon.upstream.exchange import Exchange

_RESPONSE_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'


def test_answer_before_the_end_of_a_request_keeps_the_connection() -> None:
    """A server may respond before the request is finished.

    If the connection were closed then, each fast response would cost about
    1 ms for a new connection.
    """

    async def respond(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(_RESPONSE_HEAD)
        await request_finished.wait()
        writer.write(b'ok')
        await reader.read()
        writer.close()

    request_finished = asyncio.Event()

    async def scenario() -> None:
        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        stream = await TCPClient().connect('127.0.0.1', port)
        exchange = Exchange(stream, 'GET', '/')
        await exchange.start(HTTPHeaders({'Host': 'x'}))
        await exchange.wait_head()
        exchange.finish()
        request_finished.set()
        assert await exchange.body.take() == b'ok'
        assert await exchange.body.take() == b''
        assert await exchange.check_reusable()
        assert not stream.closed()
        stream.close()
        server.close()

    run(scenario)
