"""HTTP server of the simulated platform."""

import socket

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from geraniumshelf_standins.platform.handlers import (
    CountersHandler,
    FaultsHandler,
    InstanceHandler,
    InstancesHandler,
    ListHandler,
    ObjectHandler,
    WatchHandler,
)
from geraniumshelf_standins.platform.state import PlatformState


class PlatformServer:
    """Serves the API of the platform on the running event loop.

    Args:
        address: ``HOST:PORT``; port 0 selects a free port.
        state: State to serve, ``None`` for an empty one.
    """

    def __init__(
        self, address: str = '127.0.0.1:0', state: PlatformState | None = None
    ) -> None:
        self.state = PlatformState() if state is None else state
        self._address = address
        self._server = HTTPServer(_application(self.state))

    @property
    def address(self) -> str:
        """Return ``HOST:PORT``, with the real port after ``start``."""
        return self._address

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self._address}'

    def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: If the address is in use.
        """
        host, _, port = self._address.rpartition(':')
        sockets = bind_sockets(int(port), host, family=socket.AF_INET)
        self._server.add_sockets(sockets)
        self._address = f'{host}:{sockets[0].getsockname()[1]}'

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


def _application(state: PlatformState) -> Application:
    shared = {'state': state}
    return Application(
        [
            ('/v1/objects/(.+)', ObjectHandler, shared),
            ('/v1/objects', ListHandler, shared),
            ('/v1/watch', WatchHandler, shared),
            ('/v1/instances', InstancesHandler, shared),
            ('/v1/instances/(.+)', InstanceHandler, shared),
            ('/v1/faults', FaultsHandler, shared),
            ('/v1/counters', CountersHandler, shared),
        ],
        log_function=_ignore_request,
    )


def _ignore_request(_handler: object) -> None:
    """Write no access log; the counters replace it."""
