"""The HTTP server for callers."""

import asyncio
from collections.abc import Callable
from socket import socket
from sys import maxsize
from typing import Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, UnsatisfiableReadError
from tornado.netutil import bind_sockets

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_daemon.front.caller import Caller, Serve
from geraniumshelf_daemon.front.connection import (
    CallerConnection,
    PeerContext,
    RequestConnection,
)
from geraniumshelf_daemon.front.refusal import whole_refusal

LARGEST_HEADERS: Final = 16384

_LARGEST_BODY: Final = maxsize
_CHUNK: Final = 65536
_BUFFER: Final = 1048576
_IDLE_TIMEOUT_S: Final = 75
_BARE_REFUSAL: Final = b'HTTP/1.1 400 Bad Request\r\n\r\n'


class FrontServer:
    """Accepts callers and starts one task per request."""

    def __init__(
        self,
        serve: Serve,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
        divert: Callable[[IOStream], bool] | None = None,
    ) -> None:
        """Prepare to serve.

        Args:
            serve: Serves one request.
            idle_timeout_s: Time for which a connection may be idle.
            divert: Takes over a new connection, or returns that it does not.
        """
        self._delegate = _Connections(serve)
        self._http = _Listener(
            self._delegate,
            chunk_size=_CHUNK,
            max_header_size=LARGEST_HEADERS,
            max_body_size=_LARGEST_BODY,
        )
        # Tornado's timeout begins with the last request, not with its answer.
        self._http.conn_params.header_timeout = None
        self._http.idle_timeout_s = idle_timeout_s
        self._http.divert = divert
        self._sockets: list[socket] = []

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change the idle time of connections that open later."""
        self._http.idle_timeout_s = idle_timeout_s

    def listen(self, host: str, port: int) -> int:
        """Listen at an address and return the port.

        Raises:
            OSError: If the address is in use.
        """
        sockets = bind_sockets(port, host)
        self._sockets.extend(sockets)
        self._http.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    def stop_keep_alive(self) -> None:
        """Ask callers to close their connections after the next answer."""
        self._delegate.is_leaving = True

    def close_idle(self) -> int:
        """Close the connections without a request under way.

        Returns:
            The number of connections that are left; each has a request that
            was read and not yet answered.
        """
        return self._http.close_idle()

    def stop_accepting(self) -> None:
        """Close the port; connections stay open.

        Connections that the kernel has accepted are taken over first, as they
        would be reset with the port, and requests may have been sent on them.
        """
        for listening in self._sockets:
            self._accept_waiting(listening)
        self._sockets.clear()
        self._http.stop()

    async def close(self) -> None:
        """Close the port and all connections, also those with requests."""
        self._http.stop()
        await self._http.close_all_connections()

    def _accept_waiting(self, listening: socket) -> None:
        while True:
            try:
                accepted, address = listening.accept()
            except ConnectionError:
                # Its caller has reset it; others may wait behind it.
                continue
            except OSError:
                return
            accepted.setblocking(False)
            self._http.handle_stream(IOStream(accepted), address)


class _Listener(HTTPServer):
    idle_timeout_s: float = _IDLE_TIMEOUT_S
    divert: Callable[[IOStream], bool] | None = None

    def initialize(self, *args: Any, **options: Any) -> None:
        super().initialize(*args, **options)
        self._serving: set[asyncio.Future[None]] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        if self.divert is not None and self.divert(stream):
            return
        own = _CallerStream(stream.socket)
        own.set_nodelay(True)
        connections = self.request_callback
        assert isinstance(connections, _Connections)
        connection = CallerConnection(
            own,
            self.conn_params,
            PeerContext(str(address[0])),
            connections.make_caller,
            self.idle_timeout_s,
            self._forget,
        )
        self._connections.add(connection)  # type: ignore[arg-type]
        self._serving.add(task := asyncio.ensure_future(connection.run()))
        task.add_done_callback(self._serving.discard)

    def _forget(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)

    def close_idle(self) -> int:
        """Close the connections without a request under way."""
        for connection in tuple(self._connections):
            assert isinstance(connection, CallerConnection)
            if connection.is_idle:
                connection.close_now()
        return len(self._connections)


class _Connections(HTTPServerConnectionDelegate):
    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.is_leaving = False

    def make_caller(self, connection: RequestConnection) -> Caller:
        stream = connection.stream
        assert isinstance(stream, _CallerStream)
        stream.has_head = False
        return Caller(
            connection, self._serve, self._ask_leaving, stream.note_head
        )

    def _ask_leaving(self) -> bool:
        return self.is_leaving


class _CallerStream(IOStream):
    """Gives answers with a result code where tornado gives bare ones.

    Attributes:
        has_head: Whether the request was handed over. It may be running, so
            a later error in its body must not be answered with "not run".
    """

    def __init__(self, accepted: socket) -> None:
        super().__init__(accepted, max_buffer_size=_BUFFER)
        self.has_head = False
        self._is_prompt = False

    def set_nodelay(self, value: bool) -> None:
        """Send small answers at once from the first call on.

        Tornado would change the option twice a request.
        """
        if not self._is_prompt:
            self._is_prompt = True
            super().set_nodelay(True)

    def _maybe_add_error_listener(self) -> None:
        # Tornado stops to look for a closed connection while bytes of a
        # pipelined request wait in its buffer.
        super()._maybe_add_error_listener()
        is_waiting = self._state is None or self._state == IOLoop.ERROR
        if is_waiting and not self.closed() and self._close_callback:
            self._add_io_state(IOLoop.READ)

    def note_head(self) -> None:
        """Note that the request was handed over."""
        self.has_head = True

    def write(self, data: bytes | memoryview) -> Any:
        """Replace tornado's answer to a malformed request."""
        if data == _BARE_REFUSAL and self.has_head:
            self.close()
            return asyncio.sleep(0)
        if data == _BARE_REFUSAL:
            return super().write(
                whole_refusal(
                    RequestRefused(
                        ResultCode.MALFORMED_REQUEST, 'malformed HTTP message'
                    )
                )
            )
        return super().write(data)

    def close(self, exc_info: Any = False) -> None:
        """Answer a request with too many headers before closing."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            refusal = RequestRefused(
                ResultCode.HEADERS_TOO_LARGE,
                f'headers exceed {LARGEST_HEADERS} bytes',
            )
            try:
                self.socket.send(whole_refusal(refusal))
            except OSError:
                super().close(exc_info)
                return
        super().close(exc_info)
