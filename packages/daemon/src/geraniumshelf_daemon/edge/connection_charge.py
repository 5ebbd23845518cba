"""Charges a connection to a server to the caller whose request uses it."""

import asyncio
from collections.abc import Callable
from typing import Final

from tornado.iostream import IOStream

from geraniumshelf_daemon.front.caller import Caller

# Buffers of a connection to a server, and chunks on their way to the caller.
_CONNECTION_BYTES: Final = 131072


class ConnectionCharge:
    """Memory and the descriptor of one connection, until it is released.

    Args:
        caller: The request that uses the connection.
        close: Closes the attempt; called at once if the daemon closes the
            connection of the caller.

    Raises:
        CancelledError: If charging has closed the connection of the caller.
    """

    def __init__(self, caller: Caller, close: Callable[[], None]) -> None:
        self._caller = caller
        self._close = close
        self._opening: IOStream | None = None
        self._is_released = False
        self._is_aborted = False
        caller.charge.join_cleanup(self._abort)
        caller.charge.hold(_CONNECTION_BYTES, descriptors=1)
        if self._is_aborted:
            self.release()
            raise asyncio.CancelledError

    def record_opening(self, stream: IOStream) -> None:
        """Record a new connection before it is established.

        Raises:
            CancelledError: If the connection of the caller was closed.
        """
        if self._is_aborted:
            raise asyncio.CancelledError
        self._opening = stream

    def record_opened(self) -> None:
        """Record that the attempt closes the connection from now on."""
        self._opening = None

    def release(self) -> bool:
        """Release the charge; return whether this is the first call."""
        if self._is_released:
            return False
        self._is_released = True
        self._caller.charge.hold(-_CONNECTION_BYTES, descriptors=-1)
        return True

    def _abort(self) -> None:
        self._is_aborted = True
        self._close()
        # The task that opens a connection would close it only later.
        if self._opening is not None:
            self._opening.close()
