"""Accepts connections of callers."""

import asyncio
from socket import socket
from sys import maxsize
from typing import Any, Final

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from geraniumshelf_daemon.front.budget import CallerBudget
from geraniumshelf_daemon.front.caller import Caller, Serve
from geraniumshelf_daemon.front.caller_stream import (
    MAX_HEADER_BYTES,
    CallerStream,
)
from geraniumshelf_daemon.front.connection import (
    CallerConnection,
    PeerContext,
    RequestConnection,
)

_MAX_BODY_BYTES: Final = maxsize
_CHUNK_BYTES: Final = 65536
_IDLE_TIMEOUT_S: Final = 75


class FrontServer:
    """Accepts connections and starts one task for each request."""

    def __init__(
        self,
        serve: Serve,
        idle_timeout_s: float = _IDLE_TIMEOUT_S,
        budget: CallerBudget | None = None,
    ) -> None:
        """Prepare to serve.

        Args:
            serve: Serves one request.
            idle_timeout_s: Time after which an idle connection is closed.
            budget: Bounds what callers hold; ``None`` for no bound.
        """
        self._delegate = _CallerFactory(serve)
        self._http = _Listener(
            self._delegate,
            chunk_size=_CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
        )
        # Tornado starts this timeout at the end of the last request instead of
        # its response, so ``CallerConnection`` has an idle timeout of its own.
        self._http.conn_params.header_timeout = None
        self._http.idle_timeout_s = idle_timeout_s
        self._http.budget = budget or CallerBudget()
        self._sockets: list[socket] = []

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Change the idle timeout of all connections."""
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
        """Close each connection after the response to its newest request."""
        self._delegate.is_leaving = True

    def close_idle(self) -> int:
        """Close the connections without a request in flight.

        Returns:
            The number of connections that remain; each has a request that was
            received and has not ended.
        """
        return self._http.close_idle()

    def stop_accepting(self) -> None:
        """Close the port; connections stay open.

        Connections in the backlog of the kernel are accepted first: closing the
        port would reset them, and callers may already have sent requests.
        """
        for listener in self._sockets:
            self._accept_pending(listener)
        self._sockets.clear()
        self._http.stop()

    async def close(self) -> None:
        """Close the port and all connections, even with requests in flight."""
        self._http.stop()
        await self._http.close_all_connections()

    def _accept_pending(self, listener: socket) -> None:
        while True:
            try:
                accepted, address = listener.accept()
            except ConnectionError:
                # The caller has reset this connection; others may be pending.
                continue
            except OSError:
                return
            accepted.setblocking(False)
            self._http.handle_stream(IOStream(accepted), address)


class _Listener(HTTPServer):
    idle_timeout_s: float = _IDLE_TIMEOUT_S
    budget: CallerBudget

    def initialize(self, *args: Any, **options: Any) -> None:
        super().initialize(*args, **options)
        self._serving: set[asyncio.Future[None]] = set()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        caller_stream = CallerStream(stream.socket, self.budget)
        caller_stream.set_nodelay(True)
        caller_factory = self.request_callback
        assert isinstance(caller_factory, _CallerFactory)
        connection = CallerConnection(
            caller_stream,
            self.conn_params,
            PeerContext(str(address[0])),
            caller_factory.make_caller,
            self._get_idle_timeout,
            self._remove_connection,
            self.budget,
        )
        self._connections.add(connection)  # type: ignore[arg-type]
        self._serving.add(task := asyncio.ensure_future(connection.run()))
        task.add_done_callback(self._serving.discard)

    def _get_idle_timeout(self) -> float:
        return self.idle_timeout_s

    def _remove_connection(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)

    def close_idle(self) -> int:
        """Close the connections without a request in flight."""
        for connection in tuple(self._connections):
            assert isinstance(connection, CallerConnection)
            if connection.is_idle:
                connection.close_now()
        return len(self._connections)


class _CallerFactory(HTTPServerConnectionDelegate):
    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self.is_leaving = False

    def make_caller(self, connection: RequestConnection) -> Caller:
        stream = connection.stream
        assert isinstance(stream, CallerStream)
        stream.begin_head()
        return Caller(
            connection, self._serve, self._get_is_leaving, stream.record_headers
        )

    def _get_is_leaving(self) -> bool:
        return self.is_leaving
