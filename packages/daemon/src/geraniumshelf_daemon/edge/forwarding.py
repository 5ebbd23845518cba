"""Passes the connections of a daemon that isn't loaded through to an entry."""

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
from geraniumshelf_daemon.edge.settings import EdgeBounds
from geraniumshelf_daemon.edge.state import RelayState
from geraniumshelf_daemon.observability.events import Event, log_event

_CHUNK: Final = 65536
# Three times the way between two daemons of a zone is far below.
_CONNECT_TIMEOUT_S: Final = 0.3
# The answer to a request is over if the entry has sent its last bytes this
# long ago and the caller none since.
_QUIET_MS: Final = 300
_QUIET_NS: Final[Nanoseconds] = _QUIET_MS * MILLISECOND_NS


class _Passage:
    """A connection of a caller and the one to the entry."""

    def __init__(self, caller: IOStream, target: str) -> None:
        self.target = target
        self.caller = caller
        self.entry: IOStream | None = None
        self.is_answered = True
        self.used_at: Nanoseconds = 0

    def close(self) -> None:
        """Close both connections."""
        self.caller.close()
        if self.entry is not None:
            self.entry.close()


class ConnectionForwarder:
    """Passes connections on, so that a standby can serve without loading.

    Args:
        presence: What is known of the other daemons.
        state: Tells whether this daemon serves by itself.
        own_heartbeat: Returns the newest beat of this daemon.
        bounds: Returns the bounds in force.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        presence: PresenceState,
        state: RelayState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        bounds: Callable[[], EdgeBounds],
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._presence = presence
        self._state = state
        self._own_heartbeat = own_heartbeat
        self._bounds = bounds
        self._clock = clock
        self._passing = ConnectionForwarding()
        self._passages: set[_Passage] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def divert(self, caller: IOStream) -> bool:
        """Pass a new connection on; return whether that is possible."""
        if self._state.is_loaded or self._state.is_stopping:
            return False
        target = self._find_target(self._clock())
        if target is None:
            return False
        passage = _Passage(caller, target.name)
        self._passages.add(passage)
        task = asyncio.create_task(self._pass_on(passage, target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def close_quiet(self, now: Nanoseconds, *, is_stopping: bool) -> int:
        """Close connections that wait for no answer and have no use.

        Args:
            now: Current time.
            is_stopping: Whether none has a use any more; else those to
                another entry than the present one have none.

        Returns:
            The number of connections that are left.
        """
        for passage in tuple(self._passages):
            is_useless = is_stopping or passage.target != self._passing.target
            is_quiet = now - passage.used_at >= _QUIET_NS
            if is_useless and passage.is_answered and is_quiet:
                passage.close()
        return len(self._passages)

    async def close(self) -> None:
        """Close all connections."""
        for passage in tuple(self._passages):
            passage.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _find_target(self, now: Nanoseconds) -> PresenceHeartbeat | None:
        passing = self._passing
        passing.used_at = max(passing.used_at, self._state.last_request_at)
        return choose_forwarding_target(
            self._presence,
            passing,
            self._own_heartbeat(),
            self._bounds().max_configuration_age,
            now,
        )

    async def _pass_on(
        self, passage: _Passage, target: PresenceHeartbeat
    ) -> None:
        entry = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        passage.entry = entry
        host, _, port = target.front_address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await entry.connect((host, int(port)))
            for stream in (entry, passage.caller):
                stream.set_nodelay(True)
            await asyncio.gather(
                self._copy_requests(passage, entry),
                self._copy_answers(passage, entry),
            )
        except (OSError, StreamClosedError) as error:
            # Both ends see that the other one has closed.
            log_event(
                Event.CONNECTION_PASSED, target.name, end=type(error).__name__
            )
        finally:
            passage.close()
            self._passages.discard(passage)

    async def _copy_requests(self, passage: _Passage, entry: IOStream) -> None:
        while True:
            chunk = await passage.caller.read_bytes(_CHUNK, partial=True)
            passage.is_answered = False
            passage.used_at = self._clock()
            self._passing.used_at = passage.used_at
            await entry.write(chunk)

    async def _copy_answers(self, passage: _Passage, entry: IOStream) -> None:
        while True:
            chunk = await entry.read_bytes(_CHUNK, partial=True)
            passage.is_answered = True
            passage.used_at = self._clock()
            await passage.caller.write(chunk)
