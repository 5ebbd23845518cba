"""Estimate of the demand for an account at this daemon."""

from typing import Final

from attrs import define

from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

_WINDOW_NS: Final[Nanoseconds] = SECOND_NS

# Time from a token request to the reply of the owner, with a margin for
# variation.
_TOKEN_FETCH_MS: Final = 200


@define
class DemandEstimate:
    """Estimates demand from request counts in windows of one second."""

    _window: int = 0
    _current: int = 0
    _previous: int = 0

    def record_request(self, now: Nanoseconds) -> None:
        """Record the arrival of a request."""
        self._advance_window(now)
        self._current += 1

    def expected_requests(self, now: Nanoseconds) -> int:
        """Return the requests expected until an owner can send tokens."""
        self._advance_window(now)
        recent = max(self._previous, self._current)
        return recent * _TOKEN_FETCH_MS * MILLISECOND_NS // _WINDOW_NS

    def _advance_window(self, now: Nanoseconds) -> None:
        window = now // _WINDOW_NS
        if window != self._window:
            is_next = window == self._window + 1
            self._previous = self._current * is_next
            self._current = 0
            self._window = window
