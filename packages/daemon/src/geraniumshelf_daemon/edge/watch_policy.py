"""Decides how long the watches of the store wait."""

from collections.abc import Callable

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.freshness import (
    change_batch_interval,
    has_missed_changes,
    is_newer_change_known,
    is_prober,
    max_list_age,
    watch_timeout,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.followed_kinds import CONFIGURATION_INDEX
from geraniumshelf_daemon.edge.settings import OperatorBounds
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watch_rules import WatchRules


class WatchPolicy:
    """Derives the rules for watches from the present state of the fleet.

    Attributes:
        availability: Tracks since when the store has responded.

    Args:
        presence: State of the other daemons.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        bounds: Returns the limits in force.
    """

    def __init__(
        self,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        bounds: Callable[[], OperatorBounds],
    ) -> None:
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._bounds = bounds
        self.availability = StoreAvailabilityTracker(presence, bounds)

    @property
    def rules(self) -> WatchRules:
        """Return the timeouts and intervals of the watches."""
        return WatchRules(
            self._watch_timeout,
            self._is_prober,
            self._batch_interval,
            self._is_behind,
            self._max_list_age,
        )

    def has_missed(self, kind: int, seen_revision: StoreRevision) -> bool:
        """Return whether another entry knows of a newer change.

        Reports of other zones count only for the configuration, which changes
        rarely: a renewal for each change of a server would cost many calls.

        Args:
            kind: Index of the kind in ``changes`` of a heartbeat.
            seen_revision: Revision up to which all changes are known here.
        """
        return has_missed_changes(
            self._presence,
            self._own_heartbeat(),
            kind,
            seen_revision,
            in_all_zones=kind == CONFIGURATION_INDEX,
        )

    def _is_behind(self, kind: int, seen_revision: StoreRevision) -> bool:
        return is_newer_change_known(self._presence, kind, seen_revision)

    def _watch_timeout(self, now: Nanoseconds) -> Nanoseconds:
        contact_time = self._bounds().contact_time
        return watch_timeout(
            self._presence, self._own_heartbeat(), contact_time, now
        )

    def _batch_interval(self) -> Nanoseconds:
        return change_batch_interval(self._presence)

    def _max_list_age(self) -> Nanoseconds:
        return max_list_age(self._presence)

    def _is_prober(self) -> bool:
        return is_prober(self._presence, self._own_heartbeat())
