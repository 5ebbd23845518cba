"""Watches how long a connection waits for its caller."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

from geraniumshelf_daemon.front.budget import (
    SLOW_HEAD,
    UNREAD_RESPONSE,
    CallerBudget,
)
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.caller_stream import CallerStream

# Further requests of a connection are read once one of these has ended.
MAX_REQUESTS_IN_FLIGHT: Final = 8


class ConnectionWatch:
    """The account of one connection at the budget.

    Attributes:
        last_used_at: Time of the last change of its requests, seconds.
    """

    def __init__(
        self,
        stream: CallerStream,
        in_flight: Sequence[Caller],
        budget: CallerBudget,
        address: str,
        close: Callable[[], None],
    ) -> None:
        """Open the account.

        Args:
            stream: The connection.
            in_flight: Its requests in flight.
            budget: Charged with what the connection holds.
            address: IP address of the caller.
            close: Closes the connection.
        """
        self._stream = stream
        self._in_flight = in_flight
        self._budget = budget
        self._close = close
        self.last_used_at: float = asyncio.get_running_loop().time()
        self._holding = budget.open(self, address)
        stream.join_budget(self._holding)

    def charge(self, size: int, descriptors: int) -> None:
        """Charge or, with negative amounts, release a part of a request."""
        self._budget.charge(self._holding, size, descriptors)

    def end(self) -> None:
        """Release all that the connection holds."""
        self._budget.close(self._holding)

    def find_reason(self, now: float) -> str:
        """Return why the caller is too slow, empty if it is not."""
        timeouts = self._budget.timeouts
        self._stream.update_reading(now)
        head_since = self._stream.head_since
        # A head that the daemon does not read yet isn't the caller's delay.
        is_reading = len(self._in_flight) < MAX_REQUESTS_IN_FLIGHT
        head_s = 0 if head_since is None else now - head_since
        if is_reading and head_s > timeouts.head_s:
            return SLOW_HEAD
        if now - self._stream.read_since > timeouts.response_s:
            return UNREAD_RESPONSE
        return ''

    def waited_since(self) -> float | None:
        """Return since when it waits for its caller, ``None`` if it doesn't."""
        is_waiting = self._stream.writing() or not self._in_flight
        if is_waiting or not self._in_flight[-1].body.is_finished:
            return self.last_used_at
        return None

    def close_now(self) -> None:
        """Close the connection; refuse a request whose head is incomplete."""
        if not (self._in_flight or self._stream.writing()):
            self._stream.refuse_head()
        self._close()
