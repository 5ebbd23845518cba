"""Reads the settings file again when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from geraniumshelf_core.errors import OperatorError
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.observability.events import Event, log_event

# The platform may change the file without a signal.
_LOOK_S: Final = 1.0


class SettingsFile:
    """Follows a settings file.

    Args:
        path: The file.
        read: Reads it.
        apply: Takes over what was read.
    """

    def __init__(
        self,
        path: str,
        read: Callable[[str], EdgeSettings],
        apply: Callable[[EdgeSettings], None],
    ) -> None:
        self._path = path
        self._read = read
        self._apply = apply
        self._stamp = self._current_stamp()

    async def run(self) -> None:
        """Look for changes until the task is cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            if self._current_stamp() != self._stamp:
                self.reload()

    def reload(self) -> None:
        """Read the file; one that cannot be used changes nothing."""
        self._stamp = self._current_stamp()
        try:
            settings = self._read(self._path)
        except OperatorError as error:
            log_event(Event.SETTINGS_REFUSED, error.detail)
            return
        self._apply(settings)

    def _current_stamp(self) -> tuple[int, int]:
        try:
            found = Path(self._path).stat()
        except OSError:
            return 0, 0
        return found.st_mtime_ns, found.st_ino
