"""The logical clock of a process."""

from attrs import define


@define
class LogicalClock:
    """A Lamport clock: an effect has a greater value than its cause."""

    _value: int = 0

    @property
    def value(self) -> int:
        """Return the value of the latest event."""
        return self._value

    def tick(self) -> int:
        """Advance for a local event or a sent message and return the value."""
        self._value += 1
        return self._value

    def observe(self, clock: int) -> None:
        """Take account of the clock of a received message."""
        self._value = max(self._value, clock) + 1
