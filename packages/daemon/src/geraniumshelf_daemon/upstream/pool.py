"""Keep-alive connections to backend servers."""

import asyncio
import socket
from collections import defaultdict
from collections.abc import Callable

from tornado.iostream import IOStream

from geraniumshelf_core.units import Nanoseconds, ns_to_seconds

# A connection and the time since which it has been idle.
_IdleConnection = tuple[IOStream, Nanoseconds]


class ConnectionPool:
    """Keeps idle connections to each backend server for reuse.

    Args:
        max_idle: Maximum number of idle connections to a backend server.
        connect_timeout: Time allowed for opening a connection, nanoseconds.
        max_total_idle: Maximum number of idle connections to all servers, 0 for
            no bound.
    """

    def __init__(
        self,
        max_idle: int,
        connect_timeout: Nanoseconds,
        max_total_idle: int = 0,
    ) -> None:
        self._max_total_idle = max_total_idle
        self._max_idle = max_idle
        self._connect_timeout_s = ns_to_seconds(connect_timeout)
        self._idle: dict[str, list[_IdleConnection]] = defaultdict(list)

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to a backend server."""
        return len(self._idle[address])

    def total_idle(self) -> int:
        """Return the number of idle connections to all backend servers."""
        return sum(map(len, self._idle.values()))

    async def acquire(
        self, address: str, released_after: Nanoseconds = 0
    ) -> IOStream:
        """Return an idle connection that appears to be open, or a new one.

        Args:
            address: IP address and port.
            released_after: Connections released before this time are closed
                instead of reused.

        Raises:
            OSError: If no connection could be opened; nothing was sent.
        """
        found = self.take_idle(address, released_after)
        return found[0] if found is not None else await self.connect(address)

    def take_idle(
        self, address: str, released_after: Nanoseconds
    ) -> tuple[IOStream, Nanoseconds] | None:
        """Remove an idle connection from the pool and return it.

        Args:
            address: IP address and port.
            released_after: Connections released before this time are closed
                instead of reused.

        Returns:
            The connection and the time at which it was released, or ``None``
            if there is no idle connection that appears to be open.
        """
        idle = self._idle[address]
        while idle:
            stream, released_at = idle.pop()
            if released_at >= released_after and _is_usable(stream):
                return stream, released_at
            stream.close()
        return None

    def release(
        self, address: str, stream: IOStream, now: Nanoseconds = 0
    ) -> None:
        """Keep a connection for reuse after a complete exchange.

        It is closed instead if there are enough idle connections.
        """
        idle = self._idle[address]
        if len(idle) < self._max_idle and not stream.closed():
            idle.append((stream, now))
            if self._max_total_idle and (
                self.total_idle() > self._max_total_idle
            ):
                self._close_oldest()
        else:
            stream.close()

    def _close_oldest(self) -> None:
        # Connections are appended as they become idle.
        oldest = min(
            filter(None, self._idle.values()), key=lambda one: one[0][1]
        )
        stream, _ = oldest.pop(0)
        stream.close()

    def close_idle(self, address: str) -> int:
        """Close the idle connections to a server and return their number.

        After one connection was silent, the others must not be reused.
        """
        idle = self._idle.pop(address, [])
        for stream, _ in idle:
            stream.close()
        return len(idle)

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    async def connect(
        self,
        address: str,
        on_open: Callable[[IOStream], None] | None = None,
    ) -> IOStream:
        """Open a connection.

        Args:
            address: IP address and port.
            on_open: Called with the stream before it connects; may raise.

        Raises:
            OSError: If it could not be opened; nothing was sent.
        """
        host, _, port = address.rpartition(':')
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            if on_open is not None:
                on_open(stream)
            await asyncio.wait_for(
                stream.connect((host, int(port))), self._connect_timeout_s
            )
        except OSError as error:
            stream.close()
            raise ConnectionError(f'cannot connect to {address}') from error
        except asyncio.CancelledError:
            stream.close()
            raise
        stream.set_nodelay(True)
        return stream


def _is_usable(stream: IOStream) -> bool:
    if stream.closed():
        return False
    # Bytes received after the end of a response belong to no request.
    if getattr(stream, '_read_buffer_size', 0):
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # The connection is closed, or has bytes that belong to no request.
    return False
