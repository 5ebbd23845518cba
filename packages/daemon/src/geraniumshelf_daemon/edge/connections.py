"""Keeps idle connections to the backend servers that a platform lists."""

from collections.abc import Callable
from typing import Final

from attrs import frozen
from tornado.iostream import IOStream

from geraniumshelf_core.placement.idle_limits import (
    IdleLimits,
    max_idle_time,
    record_loss,
)
from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.upstream.pool import ConnectionPool

# Three times the longest round trip between regions.
_CONNECT_TIMEOUT_MS: Final = 300
CONNECT_TIMEOUT_NS: Final[Nanoseconds] = _CONNECT_TIMEOUT_MS * MILLISECOND_NS
_MAX_IDLE_CONNECTIONS: Final = 12


@frozen
class AcquiredConnection:
    """A connection that is in use by one request.

    Attributes:
        stream: The connection.
        idle_time: Time for which it was idle before, ``None`` if it is new.
    """

    stream: IOStream
    idle_time: Nanoseconds | None = None


class ServerConnections:
    """Reuses connections while servers are likely to keep them open.

    Args:
        clock: Returns the current time, nanoseconds.
        max_idle: Most idle connections to all servers, 0 for no bound.
    """

    def __init__(
        self, clock: Callable[[], Nanoseconds], max_idle: int = 0
    ) -> None:
        self._pool = ConnectionPool(
            _MAX_IDLE_CONNECTIONS, CONNECT_TIMEOUT_NS, max_idle
        )
        self._clock = clock
        self._state = IdleLimits()

    async def acquire(
        self, view: ServerView, on_open: Callable[[IOStream], None]
    ) -> AcquiredConnection:
        """Return an idle or a new connection to a server.

        Args:
            view: The server.
            on_open: Called with a new connection before it connects.

        Raises:
            OSError: If the server accepts no connection; nothing was sent.
        """
        now, server = self._clock(), view.server
        max_idle = max_idle_time(
            self._state, server.service, view.idle_time, now
        )
        idle_connection = self._pool.take_idle(server.address, now - max_idle)
        if idle_connection is None:
            return AcquiredConnection(
                await self._pool.connect(server.address, on_open)
            )
        stream, idle_since = idle_connection
        return AcquiredConnection(stream, now - idle_since)

    def record_connection_loss(
        self, view: ServerView, connection: AcquiredConnection
    ) -> None:
        """Reduce the idle time of a service after a connection was lost."""
        if connection.idle_time is not None:
            service = view.server.service
            record_loss(
                self._state, service, connection.idle_time, self._clock()
            )

    def release(self, view: ServerView, connection: AcquiredConnection) -> None:
        """Return a connection to the pool after a complete exchange."""
        self._pool.release(
            view.server.address, connection.stream, self._clock()
        )

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
