"""Applies the decisions about how closely the store is followed."""

from collections.abc import Callable

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.freshness import (
    change_batch_interval,
    has_missed_changes,
    is_prober,
    watch_timeout,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.settings import EdgeBounds
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watcher import WatchRules


class WatchPolicy:
    """Decides about watches with what this daemon knows now.

    Attributes:
        reach: Since when the store has answered.

    Args:
        presence: What is known of the other daemons.
        own_heartbeat: Returns the newest beat of this daemon.
        bounds: Returns the bounds in force.
    """

    def __init__(
        self,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        bounds: Callable[[], EdgeBounds],
    ) -> None:
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._bounds = bounds
        self.reach = StoreAvailabilityTracker(presence, bounds)

    @property
    def rules(self) -> WatchRules:
        """Return the decisions about watches."""
        return WatchRules(self._wait, self._probes, self._gather)

    def has_missed(self, kind: int, seen: StoreRevision) -> bool:
        """Return whether an entry of the zone knows of a newer change.

        Args:
            kind: Place of the kind in the changes of a beat.
            seen: Revision up to which this daemon has seen all changes.
        """
        return has_missed_changes(
            self._presence, self._own_heartbeat(), kind, seen
        )

    def _wait(self, now: Nanoseconds) -> Nanoseconds:
        contact = self._bounds().contact_time
        return watch_timeout(
            self._presence, self._own_heartbeat(), contact, now
        )

    def _gather(self) -> Nanoseconds:
        return change_batch_interval(self._presence)

    def _probes(self) -> bool:
        return is_prober(self._presence, self._own_heartbeat())
