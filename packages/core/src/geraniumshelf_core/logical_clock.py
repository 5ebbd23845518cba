"""Logical clock that orders frames between daemons."""

from attrs import define


@define
class LogicalClock:
    """A Lamport clock.

    >>> clock = LogicalClock()
    >>> clock.observe(7)
    >>> clock.tick()
    8
    """

    _now: int = 0

    def tick(self) -> int:
        """Advance for a frame to send and return its time."""
        self._now += 1
        return self._now

    def observe(self, clock: int) -> None:
        """Merge the time of a received frame."""
        self._now = max(self._now, clock)
