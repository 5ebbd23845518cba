"""Recent demand for an account at this daemon."""

from typing import Final

from attrs import define

from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

_WINDOW: Final[Nanoseconds] = SECOND_NS

# Time from asking an owner to the answer, with some spread.
_HORIZON_MS: Final = 200


@define
class Demand:
    """Counts requests in windows of one second."""

    _window: int = 0
    _current: int = 0
    _previous: int = 0

    def count(self, now: Nanoseconds) -> None:
        """Count a request."""
        self._roll(now)
        self._current += 1

    def expected(self, now: Nanoseconds) -> int:
        """Return the requests to expect until tokens can be fetched."""
        self._roll(now)
        recent = max(self._previous, self._current)
        return recent * _HORIZON_MS * MILLISECOND_NS // _WINDOW

    def _roll(self, now: Nanoseconds) -> None:
        window = now // _WINDOW
        if window != self._window:
            is_next = window == self._window + 1
            self._previous = self._current * is_next
            self._current = 0
            self._window = window
