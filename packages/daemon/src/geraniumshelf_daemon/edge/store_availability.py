"""Tracks whether the store responds to this daemon and the others."""

import asyncio
from collections.abc import Callable

from geraniumshelf_core.presence.freshness import max_list_age
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.presence.store_availability import (
    OutageLimits,
    StoreAvailability,
    make_outage_limits,
    record_failure,
    record_response,
    store_available_for,
    store_available_since,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.settings import OperatorBounds


class StoreAvailabilityTracker:
    """Tracks since when the store has responded, here or at other daemons.

    Args:
        presence: State of the other daemons.
        bounds: Returns the limits in force.
    """

    def __init__(
        self, presence: PresenceState, bounds: Callable[[], OperatorBounds]
    ) -> None:
        self._presence = presence
        self._bounds = bounds
        self._availability = StoreAvailability()
        self._contact_since: Nanoseconds = 0
        self._failure_event = asyncio.Event()

    @property
    def era(self) -> int:
        """Return the era of the newest response."""
        return self._availability.era

    @property
    def last_response_at(self) -> Nanoseconds | None:
        """Return the time of the newest response, ``None`` for none."""
        return self._availability.last_response_at

    @property
    def contact_since(self) -> Nanoseconds:
        """Return since when a list of servers would have stayed current."""
        return self._contact_since

    def record_store_response(self, era: int, now: Nanoseconds) -> None:
        """Record that the store has responded."""
        last_at = self._availability.last_response_at
        if last_at is None or now - last_at > max_list_age(self._presence):
            self._contact_since = now
        record_response(self._availability, era, self._limits(), now)

    def record_store_failure(self) -> None:
        """Record that a call of the store has failed."""
        record_failure(self._availability)
        self._failure_event.set()

    def record_unanswered_probe(self, requested_at: Nanoseconds) -> None:
        """Record that a probe has no response.

        It needs no other probe to find out whether the store responds.

        Args:
            requested_at: Time at which the probe was sent. It does not count if
                the store has responded to a later call.
        """
        last_at = self._availability.last_response_at
        if last_at is None or last_at < requested_at:
            record_failure(self._availability)

    async def wait_for_failure(self) -> None:
        """Wait for a failed call; one since the last wait counts."""
        await self._failure_event.wait()
        self._failure_event.clear()

    def reset(self) -> None:
        """Clear the recorded responses when the store is no longer followed."""
        self._availability = StoreAvailability()

    def available_for(self, now: Nanoseconds) -> Nanoseconds:
        """Return for how long no entry has expired because of an outage.

        The heartbeats send it to the other daemons, which rely on it.
        """
        return store_available_for(self._availability, self._limits(), now)

    def available_since(self, now: Nanoseconds) -> Nanoseconds:
        """Return since when no entry has expired because of an outage."""
        return store_available_since(
            self._availability, self._presence, self._limits(), now
        )

    def _limits(self) -> OutageLimits:
        bounds = self._bounds()
        return make_outage_limits(
            bounds.server_heartbeat_interval, bounds.contact_time
        )
