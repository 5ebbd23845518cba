"""Renews the watches of a daemon after one of them was lost."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.watcher import Watcher

# When the store drops its history or resets its connections, most watches of a
# daemon get to know it within this time. They are not renewed for it.
_MIN_DELAY_S: Final = 0.1
# The daemons of a fleet lose watches at the same time, but must not all call
# the store at the same time.
_JITTER_S: Final = 0.2


class WatchRenewals:
    """Renews the other watches when one of them was lost.

    The store may drop its history, or a connection may break, without a
    response to each watch. One that stays silent would be noticed only after
    its timeout.

    Args:
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not call at the same time.
        is_enabled: Returns whether watches are renewed in this way.
    """

    def __init__(
        self,
        clock: Callable[[], Nanoseconds],
        random: Random,
        is_enabled: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._random = random
        self._is_enabled = is_enabled
        self._watchers: Sequence[Watcher] = ()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, watchers: Sequence[Watcher]) -> None:
        """Renew these watches from now on."""
        self._watchers = watchers

    def stop(self) -> None:
        """Renew no watch any more."""
        self._watchers = ()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def record_loss(self) -> None:
        """Renew soon all watches that were sent before now.

        Losses until then have the same cause and need no other renewal.
        """
        if self._timer is not None or not self._is_enabled():
            return
        delay_s = _MIN_DELAY_S + _JITTER_S * self._random.random()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._renew, self._clock())

    def _renew(self, lost_at: Nanoseconds) -> None:
        self._timer = None
        now = self._clock()
        for watcher in self._watchers:
            watcher.renew_earlier(lost_at, now)
