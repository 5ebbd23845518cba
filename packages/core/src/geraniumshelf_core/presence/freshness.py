"""How closely a daemon follows the store, and who has a fresh configuration.

Answers a fleet whose calls to the store grow with its entries. A watch brings a
change at once; it is only renewed early because it may have been silenced on
the way. In a large fleet one entry of a zone, the lead, renews its watches
early. The others wait longer: beats tell them of a change that their own watch
has missed.
"""

from collections.abc import Iterator
from typing import Final

from attrs import define

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.membership.ranking import best_ranked
from geraniumshelf_core.presence.queries import is_large_fleet, zone_heartbeats
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Below the longest wait that the store allows, 30 s.
_LONG_WAIT_S: Final = 25
_LONG_WAIT_NS: Final[Nanoseconds] = _LONG_WAIT_S * SECOND_NS
# A watch that was silenced on the way is noticed when its wait is over and no
# answer has come for 0.8 s. That must happen before the daemon counts as in
# touch again.
_MARGIN_MS: Final = 1000
_MARGIN_NS: Final[Nanoseconds] = _MARGIN_MS * MILLISECOND_NS
# Changes of this time are fetched together. The bounds on what a daemon learns
# from the store are 2 s and more, and 3 s and more in large fleets.
_GATHER_MS: Final = 300
_GATHER_NS: Final[Nanoseconds] = _GATHER_MS * MILLISECOND_NS
_GATHER_IN_LARGE_NS: Final[Nanoseconds] = SECOND_NS


@define
class ConnectionForwarding:
    """To whom a standby passes the connections that come to it.

    Attributes:
        target: Name of the entry.
        used_at: Last time at which a request came through this daemon.
        version: Newest configuration that such an entry has told of.
    """

    target: str = ''
    used_at: Nanoseconds = 0
    version: int = 0


def watch_timeout(
    state: PresenceState,
    own: PresenceHeartbeat,
    contact: Nanoseconds,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return how long a watch may wait for a change.

    Args:
        state: What is known of the other daemons.
        own: The newest beat of this daemon.
        contact: Time after a fault within which the daemon is in touch again.
        now: Current time.
    """
    if is_lead(state, own, contact, now):
        return contact - _MARGIN_NS
    return _LONG_WAIT_NS


def change_batch_interval(state: PresenceState) -> Nanoseconds:
    """Return the time between two calls that bring changes.

    Each change of a backend server ends the watches of all entries.
    """
    return _GATHER_IN_LARGE_NS if is_large_fleet(state) else _GATHER_NS


def is_lead(
    state: PresenceState,
    own: PresenceHeartbeat,
    contact: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Return whether this daemon renews its watches early.

    Every entry of a small fleet does. In a large one it is the first entry of
    the zone whose configuration is fresh; two for a moment are harmless.
    """
    if not is_large_fleet(state):
        return True
    return not any(
        neighbour.heartbeat.name < own.name
        for neighbour in _fresh_entries(state, own.zone, contact, now)
    )


def is_prober(state: PresenceState, own: PresenceHeartbeat) -> bool:
    """Return whether this daemon often asks a store that is in trouble.

    In a large fleet it is the first entry of the zone, also if its
    configuration is as old as that of the others; they ask less often, and at
    once when its beats tell of a change.
    """
    if not is_large_fleet(state):
        return True
    return not any(
        heartbeat.is_ready and heartbeat.name < own.name
        for heartbeat in zone_heartbeats(state, own.zone)
    )


def has_missed_changes(
    state: PresenceState, own: PresenceHeartbeat, kind: int, seen: StoreRevision
) -> bool:
    """Return whether an entry of the zone knows of a change that is newer.

    Args:
        state: What is known of the other daemons.
        own: The newest beat of this daemon.
        kind: Place of the kind in the changes of a beat.
        seen: Revision up to which this daemon has seen all changes.
    """
    return any(
        neighbour.heartbeat.changes[kind] > seen
        for neighbour in state.peers.values()
        if neighbour.heartbeat.zone == own.zone
        and len(neighbour.heartbeat.changes) > kind
    )


def choose_forwarding_target(
    state: PresenceState,
    passing: ConnectionForwarding,
    own: PresenceHeartbeat,
    fresh: Nanoseconds,
    now: Nanoseconds,
) -> PresenceHeartbeat | None:
    """Return the entry that gets the connections of this standby.

    It stays the same one, as another may have an older configuration. A new
    one is chosen only if the store has confirmed its configuration since the
    last request.

    Args:
        state: What is known of the other daemons.
        passing: To whom connections were passed.
        own: The newest beat of this daemon.
        fresh: Age up to which a confirmed configuration is fresh.
        now: Current time.
    """
    entries = {
        neighbour.heartbeat.name: neighbour
        for neighbour in _fresh_entries(state, own.zone, fresh, now)
    }
    current = entries.get(passing.target)
    if current is None:
        later = (
            name
            for name, neighbour in entries.items()
            if now - configuration_age(neighbour, now) > passing.used_at
            and neighbour.heartbeat.version >= passing.version
        )
        passing.target = best_ranked(own.name, later) or ''
        current = entries.get(passing.target)
    if current is None:
        return None
    passing.version = max(passing.version, current.heartbeat.version)
    return current.heartbeat


def configuration_age(neighbour: PeerPresence, now: Nanoseconds) -> Nanoseconds:
    """Return the age of what a daemon last heard of the store."""
    return neighbour.heartbeat.configuration_age + now - neighbour.last_heard_at


def _fresh_entries(
    state: PresenceState, zone: str, fresh: Nanoseconds, now: Nanoseconds
) -> Iterator[PeerPresence]:
    for neighbour in state.peers.values():
        heartbeat = neighbour.heartbeat
        is_entry = heartbeat.zone == zone and heartbeat.is_ready
        if is_entry and configuration_age(neighbour, now) <= fresh:
            yield neighbour
