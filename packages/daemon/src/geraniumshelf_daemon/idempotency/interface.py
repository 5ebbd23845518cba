"""What a decider needs to know about other daemons."""

from typing import Protocol


class DeciderDirectory(Protocol):
    """Finds the instance that issued a request id."""

    def find(self, slot: str, incarnation: int) -> str | None:
        """Return the name of the instance, ``None`` if it isn't live."""
