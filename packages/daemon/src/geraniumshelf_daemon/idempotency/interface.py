"""What the decider needs to know about the other daemons."""

from typing import Protocol


class DeciderDirectory(Protocol):
    """Knows which instance holds a slot with an incarnation."""

    def find(self, slot: str, incarnation: int) -> str | None:
        """Return the instance name, ``None`` if it isn't live."""
