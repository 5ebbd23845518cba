"""What other parts of the daemon see of the configuration in force."""

from collections.abc import Callable
from typing import Protocol

from geraniumshelf_core.configuration.model import Configuration


class ConfigurationSource(Protocol):
    """Holds the highest revision seen; it never moves back."""

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, ``None`` before the first."""

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each revision that comes into force."""
