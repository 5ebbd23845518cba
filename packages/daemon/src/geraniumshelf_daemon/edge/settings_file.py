"""Reloads the settings file when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Final

from geraniumshelf_core.errors import OperatorError
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.observability.events import Event, log_event

# The platform may change the file without sending a signal, so it is polled.
_POLL_INTERVAL_S: Final = 1.0


class SettingsFile:
    """Watches a settings file and applies its changes.

    Args:
        path: Path of the file.
        read: Returns the settings in the file.
        apply: Puts settings in force.
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
        self._file_version = self._read_file_version()

    async def run(self) -> None:
        """Poll the file for changes until the task is cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if self._read_file_version() != self._file_version:
                self.reload()

    def reload(self) -> None:
        """Apply the file; an invalid one leaves the old settings in force."""
        self._file_version = self._read_file_version()
        try:
            settings = self._read(self._path)
        except OperatorError as error:
            log_event(Event.SETTINGS_REFUSED, error.detail)
            return
        self._apply(settings)

    def _read_file_version(self) -> tuple[int, int]:
        try:
            status = Path(self._path).stat()
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_ino
