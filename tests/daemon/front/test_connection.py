"""Guards pipelined requests on one connection of a caller."""

import asyncio
import socket

from tests.daemon.front.harness import run
from tornado.httputil import HTTPHeaders

from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.server import FrontServer

_REQUEST = b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n'
_RESPONSE_BODY = b'ok'


def _headers() -> HTTPHeaders:
    return HTTPHeaders({'Content-Length': str(len(_RESPONSE_BODY))})


def test_request_behind_a_closing_answer_is_not_served() -> None:
    """A request after ``Connection: close`` counts as not read.

    The caller sends it again, so it would run twice.
    """
    served: list[str] = []
    begun = asyncio.Event()
    sent = asyncio.Event()

    async def serve(caller: Caller) -> None:
        served.append(caller.target)
        await caller.response_writer.begin(
            200, 'OK', _headers(), _RESPONSE_BODY
        )
        begun.set()
        await sent.wait()
        # The second request is read before the first response ends.
        await asyncio.sleep(0.05)
        await caller.response_writer.end()

    async def scenario() -> None:
        server = FrontServer(serve)
        port = server.listen('127.0.0.1', 0)
        server.stop_keep_alive()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST % 1)
        await begun.wait()
        writer.write(_REQUEST % 2)
        sent.set()
        response = await reader.read()
        assert b'Connection: close' in response
        assert response.endswith(_RESPONSE_BODY)
        assert served == ['/1']
        writer.close()
        await server.close()

    run(scenario)


def test_leaving_server_answers_what_it_has_read() -> None:
    """A planned stop must not break off a request that was received."""
    both = asyncio.Event()
    served: list[str] = []

    async def serve(caller: Caller) -> None:
        served.append(caller.target)
        if len(served) == 2:
            both.set()
        await both.wait()
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve)
        port = server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST % 1 + _REQUEST % 2)
        await both.wait()
        server.stop_keep_alive()
        responses = await reader.read()
        assert responses.count(b'200 OK') == 2
        assert responses.count(b'Connection: close') == 1
        writer.close()
        await server.close()

    run(scenario)


def test_idle_connection_is_closed_after_its_answer() -> None:
    """The idle timeout starts at the response and closes the connection.

    Without it, idle connections would accumulate.
    """

    async def serve(caller: Caller) -> None:
        await asyncio.sleep(0.3)
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve, idle_timeout_s=0.2)
        port = server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(_REQUEST % 1)
        response = await reader.read()
        assert response.endswith(_RESPONSE_BODY)
        writer.close()
        await server.close()

    run(scenario)


def test_head_that_has_begun_keeps_its_connection() -> None:
    """Guard against a connection closed as idle while a request arrives."""

    async def serve(caller: Caller) -> None:
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve, idle_timeout_s=0.4)
        port = server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        request = _REQUEST % 1
        await asyncio.sleep(0.2)
        writer.write(request[:10])
        await asyncio.sleep(0.3)
        writer.write(request[10:])
        response = await reader.read()
        assert response.endswith(_RESPONSE_BODY)
        writer.close()
        await server.close()

    run(scenario)


def test_request_that_was_read_keeps_its_connection() -> None:
    """A stop that counts only running tasks breaks off a request just read."""

    async def scenario() -> None:
        for steps in range(12):
            served: list[str] = []

            async def serve(caller: Caller, log: list[str] = served) -> None:
                log.append(caller.target)
                await asyncio.sleep(0.01)
                await caller.response_writer.send_response(
                    200, 'OK', _headers(), _RESPONSE_BODY
                )

            server = FrontServer(serve)
            port = server.listen('127.0.0.1', 0)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            await asyncio.sleep(0.01)
            server.stop_keep_alive()
            writer.write(_REQUEST % 1)
            for _ in range(steps):
                await asyncio.sleep(0)
            if not server.close_idle():
                await server.close()
            try:
                response = await reader.read()
            except ConnectionError:
                response = b''
            await asyncio.sleep(0.02)
            assert bool(served) == bool(response), steps
            writer.close()
            await server.close()

    run(scenario)


def test_last_request_of_a_connection_is_counted_until_its_answer() -> None:
    """A stop would reset an upload that was sent with ``Connection: close``."""
    go = asyncio.Event()

    async def serve(caller: Caller) -> None:
        await go.wait()
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve)
        port = server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(b'GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n')
        await asyncio.sleep(0.05)
        assert server.close_idle() == 1
        go.set()
        response = await reader.read()
        assert response.endswith(_RESPONSE_BODY)
        await asyncio.sleep(0.05)
        assert server.close_idle() == 0
        writer.close()
        await server.close()

    run(scenario)


def test_stop_serves_connections_that_wait_to_be_accepted() -> None:
    """Closing the port would reset connections on which requests were sent."""

    async def serve(caller: Caller) -> None:
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve)
        port = server.listen('127.0.0.1', 0)
        # The event loop does not run in between, so nothing accepts these.
        callers = [
            socket.create_connection(('127.0.0.1', port)) for _ in range(20)
        ]
        for caller in callers:
            caller.sendall(_REQUEST % 1)
        server.stop_keep_alive()
        server.stop_accepting()
        while server.close_idle():
            await asyncio.sleep(0.01)
        for caller in callers:
            caller.settimeout(0)
            assert caller.recv(1024).endswith(_RESPONSE_BODY)
            caller.close()
        await server.close()

    run(scenario)


def test_request_in_the_socket_buffer_keeps_its_connection() -> None:
    """A stop under load must not reset requests that no task has read yet."""

    async def serve(caller: Caller) -> None:
        await caller.response_writer.send_response(
            200, 'OK', _headers(), _RESPONSE_BODY
        )

    async def scenario() -> None:
        server = FrontServer(serve)
        port = server.listen('127.0.0.1', 0)
        caller = socket.create_connection(('127.0.0.1', port))
        await asyncio.sleep(0.05)
        server.stop_keep_alive()
        caller.sendall(_REQUEST % 1)
        assert server.close_idle() == 1
        while server.close_idle():
            await asyncio.sleep(0.01)
        caller.settimeout(0)
        assert caller.recv(1024).endswith(_RESPONSE_BODY)
        caller.close()
        await server.close()

    run(scenario)
