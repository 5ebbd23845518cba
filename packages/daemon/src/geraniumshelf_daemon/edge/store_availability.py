"""Notes whether this daemon reaches the store, and who else does."""

import asyncio
from collections.abc import Callable

from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.presence.store_availability import (
    OutageLimits,
    StoreAvailability,
    make_outage_limits,
    record_answer,
    record_failure,
    store_available_for,
    store_available_since,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.settings import EdgeBounds


class StoreAvailabilityTracker:
    """Since when the store has answered, here or at other daemons.

    Args:
        presence: What is known of the other daemons.
        bounds: Returns the bounds in force.
    """

    def __init__(
        self, presence: PresenceState, bounds: Callable[[], EdgeBounds]
    ) -> None:
        self._presence = presence
        self._bounds = bounds
        self._answers = StoreAvailability()
        self._has_failed = asyncio.Event()

    @property
    def era(self) -> int:
        """Return the era of the newest answer."""
        return self._answers.era

    def note_answer(self, era: int, now: Nanoseconds) -> None:
        """Take over that the store has answered."""
        record_answer(self._answers, era, self._limits(), now)

    def note_failure(self) -> None:
        """Take over that a call has failed."""
        record_failure(self._answers)
        self._has_failed.set()

    async def wait_failure(self) -> None:
        """Wait until a call fails after the last wait."""
        await self._has_failed.wait()
        self._has_failed.clear()

    def forget(self) -> None:
        """Forget the answers: the store is followed no longer."""
        self._answers = StoreAvailability()

    def answered_for(self, now: Nanoseconds) -> Nanoseconds:
        """Return for how long others may rely on it that no entry lapsed."""
        return store_available_for(self._answers, self._limits(), now)

    def answered_since(self, now: Nanoseconds) -> Nanoseconds:
        """Return since when no entry has lapsed."""
        return store_available_since(
            self._answers, self._presence, self._limits(), now
        )

    def _limits(self) -> OutageLimits:
        bounds = self._bounds()
        return make_outage_limits(
            bounds.server_heartbeat_interval, bounds.contact_time
        )
