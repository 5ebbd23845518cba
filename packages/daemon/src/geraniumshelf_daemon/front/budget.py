"""One budget of memory and descriptors for all callers of a daemon."""

import asyncio
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_daemon.front.holdings import (
    Holding,
    HoldingConnection,
    score_holding,
)
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import (
    count_metric,
    gauge_metric,
)

MEMORY_SHORT: Final = 'memory'
DESCRIPTORS_SHORT: Final = 'descriptors'
SLOW_HEAD: Final = 'head'
UNREAD_RESPONSE: Final = 'response'

_METRIC_BY_REASON: Final = {
    MEMORY_SHORT: Metric.CALLERS_CLOSED_MEMORY,
    DESCRIPTORS_SHORT: Metric.CALLERS_CLOSED_DESCRIPTORS,
    SLOW_HEAD: Metric.CALLERS_CLOSED_HEAD,
    UNREAD_RESPONSE: Metric.CALLERS_CLOSED_RESPONSE,
}
# A shortage ends at this fraction of the budget, so that the connections are
# not sorted again for each chunk.
_RELIEF_FRACTION: Final = 0.875
_CHECK_INTERVAL_S: Final = 0.25
_MAX_LINES_PER_CHECK: Final = 10


@frozen
class BudgetLimits:
    """Bounds on what callers may hold together.

    Attributes:
        max_bytes: Memory, 0 for no bound.
        max_descriptors: Descriptors of callers' connections and of connections
            to servers that their requests use, 0 for no bound.
    """

    max_bytes: int = 0
    max_descriptors: int = 0

    @property
    def is_bounded(self) -> bool:
        """Return whether there is any bound."""
        return bool(self.max_bytes or self.max_descriptors)


@define
class CallerTimeouts:
    """Times that a caller may take, seconds.

    Attributes:
        head_s: From the first byte of a request head to its last.
        response_s: Without reading any byte of a response.
    """

    head_s: float = 3
    response_s: float = 15


@define(eq=False)
class CallerBudget:
    """Closes the connections that hold the most for the least progress.

    Attributes:
        limits: Bounds; without any, nothing is closed.
        timeouts: Times that a caller may take; they apply if there is a bound.
    """

    limits: BudgetLimits = field(factory=BudgetLimits)
    timeouts: CallerTimeouts = field(factory=CallerTimeouts)
    _holdings: set[Holding] = field(factory=set)
    _bytes: int = 0
    _descriptors: int = 0
    _lines_left: int = _MAX_LINES_PER_CHECK

    def open(
        self, connection: HoldingConnection, address: str, descriptors: int = 1
    ) -> Holding:
        """Charge a new connection and return its holding."""
        holding = Holding(connection, address, descriptors=descriptors)
        self._bytes += holding.held_bytes
        self._descriptors += descriptors
        # It joins the others after this, as its caller has had no time yet.
        self._shed()
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Release all that a connection holds."""
        if holding in self._holdings:
            self._holdings.discard(holding)
            self._bytes -= holding.held_bytes
            self._descriptors -= holding.descriptors

    def charge(self, holding: Holding, size: int, descriptors: int = 0) -> None:
        """Charge or, with negative amounts, release a part of a request."""
        holding.request_bytes += size
        holding.descriptors += descriptors
        if holding in self._holdings:
            self._bytes += size
            self._descriptors += descriptors
            if size > 0 or descriptors > 0:
                self._shed()

    def charge_stream(self, holding: Holding, size: int, moved: int) -> None:
        """Record the size of the buffers of a connection.

        Args:
            holding: What the connection holds.
            size: Bytes in its buffers.
            moved: Bytes that were read or written since the last call.
        """
        change = size - holding.stream_bytes
        holding.stream_bytes = size
        holding.moved_bytes += moved
        if holding in self._holdings:
            self._bytes += change
            if change > 0:
                # The stream is in the middle of a read or a write.
                self._shed(busy=holding)

    async def run(self) -> None:
        """Close the connections of callers that are too slow, forever."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._lines_left = _MAX_LINES_PER_CHECK
            gauge_metric(Metric.CALLER_BYTES, self._bytes)
            gauge_metric(Metric.CALLER_DESCRIPTORS, self._descriptors)
            if self.limits.is_bounded:
                self._close_slow()

    def _close_slow(self) -> None:
        now = asyncio.get_running_loop().time()
        for holding in tuple(self._holdings):
            reason = holding.connection.find_reason(now)
            if reason:
                self._end(holding, reason)

    def _shed(self, busy: Holding | None = None) -> None:
        limits = self.limits
        if 0 < limits.max_bytes < self._bytes:
            enough = round(limits.max_bytes * _RELIEF_FRACTION)
            self._close_until(
                self._sort(by_bytes=True),
                busy,
                MEMORY_SHORT,
                lambda: self._bytes <= enough,
            )
        if 0 < limits.max_descriptors < self._descriptors:
            self._close_until(
                self._sort(by_bytes=False),
                busy,
                DESCRIPTORS_SHORT,
                lambda: self._descriptors <= limits.max_descriptors,
            )

    def _sort(self, *, by_bytes: bool) -> list[Holding]:
        now = asyncio.get_running_loop().time()
        score = partial(score_holding, now=now, by_bytes=by_bytes)
        return sorted(self._holdings, key=score, reverse=True)

    def _close_until(
        self,
        victims: Iterable[Holding],
        busy: Holding | None,
        reason: str,
        is_enough: Callable[[], bool],
    ) -> None:
        for victim in victims:
            if is_enough():
                return
            self._end(victim, reason, is_later=victim is busy)

    def _end(
        self, holding: Holding, reason: str, *, is_later: bool = False
    ) -> None:
        count_metric(_METRIC_BY_REASON[reason])
        if self._lines_left > 0:
            self._lines_left -= 1
            log_event(
                Event.CALLER_CLOSED,
                holding.address,
                reason=reason,
                held_bytes=holding.held_bytes,
                descriptors=holding.descriptors,
                moved_bytes=holding.moved_bytes,
            )
        self.close(holding)
        if is_later:
            loop = asyncio.get_running_loop()
            loop.call_soon(holding.connection.close_now)
        else:
            holding.connection.close_now()
