"""Connections to the backend servers that a platform lists."""

from collections.abc import Callable

from attrs import frozen
from tornado.iostream import IOStream

from geraniumshelf_core.placement.idle_limits import (
    IdleLimits,
    max_idle_time,
    record_loss,
)
from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.upstream.pool import ConnectionPool


@frozen
class TakenConnection:
    """A connection for one request.

    Attributes:
        stream: The connection.
        idle: Time for which it was idle, ``None`` for a new one.
    """

    stream: IOStream
    idle: Nanoseconds | None = None


class ServerConnections:
    """Keeps connections as long as servers are likely to.

    Args:
        pool: Idle connections.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self, pool: ConnectionPool, clock: Callable[[], Nanoseconds]
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._state = IdleLimits()

    async def take(self, view: ServerView) -> TakenConnection:
        """Return a connection to a server.

        Raises:
            OSError: If it accepts none; nothing was sent.
        """
        now, server = self._clock(), view.server
        longest = max_idle_time(
            self._state, server.service, view.idle_time, now
        )
        kept = self._pool.take_idle(server.address, now - longest)
        if kept is None:
            return TakenConnection(await self._pool.connect(server.address))
        stream, since = kept
        return TakenConnection(stream, now - since)

    def note_loss(self, view: ServerView, taken: TakenConnection) -> None:
        """Learn from a connection on which no answer came."""
        if taken.idle is not None:
            service = view.server.service
            record_loss(self._state, service, taken.idle, self._clock())

    def give_back(self, view: ServerView, taken: TakenConnection) -> None:
        """Keep a connection after a complete exchange."""
        self._pool.release(view.server.address, taken.stream, self._clock())

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
