"""Interface for finding the daemons that decide about request ids."""

from typing import Protocol


class DeciderDirectory(Protocol):
    """Finds the instance that issued a request id."""

    def find(self, slot: str, incarnation: int) -> str | None:
        """Return the name of the instance, ``None`` if it isn't live."""
