"""Lets requests wait a moment while the daemon loads."""

import asyncio
from collections.abc import Callable
from typing import Final

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.state import RelayState

# A daemon that starts lists all it needs in some 0.2 s if the store answers.
_LOADING_MS: Final = 400
_LOADING_NS: Final[Nanoseconds] = _LOADING_MS * MILLISECOND_NS
_LOADING_POLL_S: Final = 0.02


class LoadingGate:
    """Holds requests until the daemon has loaded.

    After a loss of power callers come back before it has loaded; most of them
    come only once more.

    Args:
        state: Tells whether the daemon has loaded.
        will_load: Returns whether it is about to.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        state: RelayState,
        will_load: Callable[[], bool],
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._state = state
        self._will_load = will_load
        self._clock = clock

    async def wait(self, arrived: Nanoseconds) -> None:
        """Wait until the daemon has loaded, or that takes too long."""
        until = arrived + _LOADING_NS
        while not self._state.is_loaded and self._will_load():
            if self._clock() >= until:
                return
            await asyncio.sleep(_LOADING_POLL_S)
