"""Delays requests for a short time while the daemon loads."""

import asyncio
from collections.abc import Callable
from typing import Final

from attrs import frozen

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.forwarding import RequestForwarder
from geraniumshelf_daemon.edge.state import EdgeState

# A starting daemon loads everything it needs in about 0.2 s if the store
# responds.
_MAX_WAIT_MS: Final = 400
_MAX_WAIT_NS: Final[Nanoseconds] = _MAX_WAIT_MS * MILLISECOND_NS
_POLL_INTERVAL_S: Final = 0.02


class LoadingGate:
    """Holds requests until the daemon has loaded.

    After a power loss callers return before the daemon has loaded, and most of
    them retry only once.

    Args:
        state: State that shows whether the daemon has loaded.
        will_load: Returns whether loading is expected to complete.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        state: EdgeState,
        will_load: Callable[[], bool],
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._state = state
        self._will_load = will_load
        self._clock = clock

    async def wait(self, arrived_at: Nanoseconds) -> None:
        """Wait until the daemon has loaded, or until the wait times out."""
        deadline = arrived_at + _MAX_WAIT_NS
        while not self._state.is_loaded and self._will_load():
            if self._clock() >= deadline:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)


@frozen
class LoadingPath:
    """What happens to requests until the daemon has loaded.

    Attributes:
        forwarder: Sends them to an entry, if there is one.
        gate: Delays the others.
    """

    forwarder: RequestForwarder
    gate: LoadingGate
