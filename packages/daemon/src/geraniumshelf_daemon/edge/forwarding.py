"""Forwards connections from a daemon that has not loaded to an entry."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from tornado.iostream import IOStream, StreamClosedError

from geraniumshelf_core.presence.freshness import (
    ConnectionForwarding,
    choose_forwarding_target,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.settings import OperatorBounds
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.front.budget import CallerBudget
from geraniumshelf_daemon.observability.events import Event, log_event

_CHUNK_BYTES: Final = 65536
# Far above three times the network delay between two daemons of a zone.
_CONNECT_TIMEOUT_S: Final = 0.3
# A response counts as complete if the entry has sent its last bytes this long
# ago and the caller has sent none since.
_IDLE_MS: Final = 300
_IDLE_NS: Final[Nanoseconds] = _IDLE_MS * MILLISECOND_NS


# A connection of a caller and one to the entry, each with a chunk in a buffer.
_DESCRIPTORS: Final = 2
_BUFFER_BYTES: Final = 2 * _CHUNK_BYTES


class _ForwardedConnection:
    """A connection of a caller and the matching one to the entry."""

    def __init__(self, caller: IOStream, target: str) -> None:
        self._moved_at_s = asyncio.get_running_loop().time()
        self.target = target
        self.caller = caller
        self.entry: IOStream | None = None
        self.has_entry_responded = True
        self.used_at: Nanoseconds = 0

    def find_reason(self, now: float) -> str:
        """Return no reason: the entry watches the caller's progress."""
        return ''

    def waited_since(self) -> float | None:
        """Return the time of the last byte, as either end may be slow."""
        return self._moved_at_s

    def record_move(self, now: Nanoseconds) -> None:
        """Record that bytes have moved."""
        self.used_at = now
        self._moved_at_s = asyncio.get_running_loop().time()

    def close_now(self) -> None:
        """Close both connections without waiting."""
        self.close()

    def close(self) -> None:
        """Close both connections."""
        self.caller.close()
        if self.entry is not None:
            self.entry.close()


class ConnectionForwarder:
    """Forwards connections, so that a standby can serve without loading.

    Args:
        presence: State of the other daemons.
        state: Shows whether this daemon has loaded and serves by itself.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        bounds: Returns the limits in force.
        clock: Returns the current time, nanoseconds.
        budget: Charged with the connections.
    """

    def __init__(
        self,
        presence: PresenceState,
        state: EdgeState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        bounds: Callable[[], OperatorBounds],
        clock: Callable[[], Nanoseconds],
        budget: CallerBudget,
    ) -> None:
        self._budget = budget
        self._presence = presence
        self._state = state
        self._own_heartbeat = own_heartbeat
        self._bounds = bounds
        self._clock = clock
        self._forwarding = ConnectionForwarding()
        self._connections: set[_ForwardedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def try_forward(self, caller: IOStream) -> bool:
        """Forward a new connection; return whether there is a target."""
        if self._state.is_loaded or self._state.is_stopping:
            return False
        target = self._find_target(self._clock())
        if target is None:
            return False
        connection = _ForwardedConnection(caller, target.name)
        self._connections.add(connection)
        holding = self._budget.open(
            connection, _find_address(caller), _DESCRIPTORS
        )
        self._budget.charge(holding, _BUFFER_BYTES)
        task = asyncio.create_task(self._forward(connection, target))
        task.add_done_callback(lambda _: self._budget.close(holding))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def close_unused(self, now: Nanoseconds, *, is_stopping: bool) -> int:
        """Close idle connections that are no longer needed.

        Args:
            now: Current time.
            is_stopping: Whether no connection is needed any more; otherwise
                those to a former target are not.

        Returns:
            The number of open connections, with those closed by this call.
        """
        for connection in tuple(self._connections):
            is_unneeded = (
                is_stopping or connection.target != self._forwarding.target
            )
            is_idle = now - connection.used_at >= _IDLE_NS
            if is_unneeded and connection.has_entry_responded and is_idle:
                connection.close()
        return len(self._connections)

    async def close(self) -> None:
        """Close all connections."""
        for connection in tuple(self._connections):
            connection.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_target(self, now: Nanoseconds) -> PresenceHeartbeat | None:
        forwarding = self._forwarding
        forwarding.last_request_at = max(
            forwarding.last_request_at, self._state.last_request_at
        )
        return choose_forwarding_target(
            self._presence,
            forwarding,
            self._own_heartbeat(),
            self._bounds().max_configuration_age,
            now,
        )

    async def _forward(
        self, connection: _ForwardedConnection, target: PresenceHeartbeat
    ) -> None:
        entry = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        connection.entry = entry
        host, _, port = target.front_address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await entry.connect((host, int(port)))
            for stream in (entry, connection.caller):
                stream.set_nodelay(True)
            await asyncio.gather(
                self._copy_requests(connection, entry),
                self._copy_responses(connection, entry),
            )
        except (OSError, StreamClosedError) as error:
            # Either end closed its connection; both are closed below.
            log_event(
                Event.CONNECTION_PASSED, target.name, end=type(error).__name__
            )
        finally:
            connection.close()
            self._connections.discard(connection)

    async def _copy_requests(
        self, connection: _ForwardedConnection, entry: IOStream
    ) -> None:
        while True:
            chunk = await connection.caller.read_bytes(
                _CHUNK_BYTES, partial=True
            )
            connection.has_entry_responded = False
            connection.record_move(self._clock())
            self._forwarding.last_request_at = connection.used_at
            await entry.write(chunk)

    async def _copy_responses(
        self, connection: _ForwardedConnection, entry: IOStream
    ) -> None:
        while True:
            chunk = await entry.read_bytes(_CHUNK_BYTES, partial=True)
            connection.has_entry_responded = True
            connection.record_move(self._clock())
            await connection.caller.write(chunk)


def _find_address(caller: IOStream) -> str:
    try:
        return str(caller.socket.getpeername()[0])
    except OSError:
        # The caller has already reset the connection.
        return ''
