"""Access of other parts of the daemon to the configuration in force."""

from collections.abc import Callable
from typing import Protocol

from geraniumshelf_core.configuration.model import Configuration


class ConfigurationSource(Protocol):
    """Provides the highest configuration revision received so far.

    The revision in force never decreases.
    """

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force, ``None`` before the first."""

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each configuration that comes into force."""
