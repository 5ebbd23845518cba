"""Keep-alive connections to backend servers."""

import asyncio
import socket
from collections import defaultdict

from tornado.iostream import IOStream

from geraniumshelf_core.units import Nanoseconds, ns_to_seconds


class ConnectionPool:
    """Holds the idle connections to each backend server.

    Args:
        limit: Idle connections kept for each backend server.
        connect_timeout: Time allowed for opening a connection, nanoseconds.
    """

    def __init__(self, limit: int, connect_timeout: Nanoseconds) -> None:
        self._limit = limit
        self._timeout_s = ns_to_seconds(connect_timeout)
        self._idle: dict[str, list[IOStream]] = defaultdict(list)

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to a backend server."""
        return len(self._idle[address])

    def total_idle(self) -> int:
        """Return the number of idle connections to all backend servers."""
        return sum(map(len, self._idle.values()))

    async def acquire(self, address: str) -> IOStream:
        """Return a connection that was open a moment ago.

        Raises:
            OSError: If no connection could be opened; nothing was sent.
        """
        idle = self._idle[address]
        while idle:
            stream = idle.pop()
            if _is_usable(stream):
                return stream
            stream.close()
        return await self._connect(address)

    def release(self, address: str, stream: IOStream) -> None:
        """Keep a connection after a complete exchange."""
        idle = self._idle[address]
        if len(idle) < self._limit and not stream.closed():
            idle.append(stream)
        else:
            stream.close()

    def drop_idle(self, address: str) -> int:
        """Close the siblings of a silent connection; return their number."""
        siblings = self._idle.pop(address, [])
        for stream in siblings:
            stream.close()
        return len(siblings)

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.drop_idle(address)

    async def _connect(self, address: str) -> IOStream:
        host, _, port = address.rpartition(':')
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        try:
            await asyncio.wait_for(
                stream.connect((host, int(port))), self._timeout_s
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
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    # End of stream, or bytes that no request asked for.
    return False
