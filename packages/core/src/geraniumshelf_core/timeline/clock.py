"""The logical clock of a process."""

from attrs import define


@define
class LogicalClock:
    """A Lamport clock: the value of an effect exceeds that of its cause."""

    _value: int = 0

    @property
    def value(self) -> int:
        """Return the value of the latest event."""
        return self._value

    def tick(self) -> int:
        """Advance for a local event or a message to send; return the value."""
        self._value += 1
        return self._value

    def observe(self, clock: int) -> None:
        """Advance past the clock of a received message."""
        self._value = max(self._value, clock) + 1
