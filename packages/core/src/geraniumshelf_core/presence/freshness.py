"""How often a daemon calls the store, and who has a fresh configuration.

The number of calls to the store must not grow with the number of entries. A
watch reports a change at once; it is renewed early only because its response
may get lost in the network. In a large fleet one entry of each zone, the zone
lead, renews its watches early. The others wait longer, as heartbeats tell them
of changes that their own watch has missed.
"""

from collections.abc import Iterator
from typing import Final

from attrs import define

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.membership.ranking import find_best_ranked
from geraniumshelf_core.presence.queries import is_large_fleet, zone_heartbeats
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Below the maximum wait that the store allows, 30 s.
_MAX_WATCH_WAIT_S: Final = 25
_MAX_WATCH_WAIT_NS: Final[Nanoseconds] = _MAX_WATCH_WAIT_S * SECOND_NS
# A watch whose response got lost is noticed when no response has come for 0.8 s
# after the end of its wait. That must happen before the end of the time within
# which the daemon must reach the store again.
_CONTACT_MARGIN_MS: Final = 1000
_CONTACT_MARGIN_NS: Final[Nanoseconds] = _CONTACT_MARGIN_MS * MILLISECOND_NS
# Changes within this time are fetched together. The limits on the time until a
# daemon knows of a change are at least 2 s, and at least 3 s in large fleets.
_BATCH_INTERVAL_MS: Final = 300
_BATCH_INTERVAL_NS: Final[Nanoseconds] = _BATCH_INTERVAL_MS * MILLISECOND_NS
_LARGE_FLEET_BATCH_INTERVAL_NS: Final[Nanoseconds] = SECOND_NS
# A server that becomes cold may get the full rate for this time from a daemon
# that has lost contact with the store.
_LIST_AGE_NS: Final[Nanoseconds] = SECOND_NS
_LARGE_FLEET_LIST_AGE_NS: Final[Nanoseconds] = 2 * SECOND_NS


@define
class ForwardingState:
    """State of the forwarding of requests by a daemon that has not loaded.

    Attributes:
        target: Name of the entry instance that gets the requests.
        last_request_at: Last time at which a request came through this daemon.
        version: Newest version of the configuration that a target has
            reported.
    """

    target: str = ''
    last_request_at: Nanoseconds = 0
    version: int = 0


def watch_timeout(
    state: PresenceState,
    own: PresenceHeartbeat,
    contact: Nanoseconds,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return the maximum time that a watch waits for a change.

    Args:
        state: State of the other daemons.
        own: Newest heartbeat of this daemon.
        contact: Time after a fault within which the daemon must reach the
            store again.
        now: Current time.
    """
    if is_zone_lead(state, own, contact, now):
        return contact - _CONTACT_MARGIN_NS
    return _MAX_WATCH_WAIT_NS


def change_batch_interval(state: PresenceState) -> Nanoseconds:
    """Return the minimum time between two calls that fetch changes.

    Without it each change of a backend server would cause a call of every
    entry at once, as it ends their watches.
    """
    return (
        _LARGE_FLEET_BATCH_INTERVAL_NS
        if is_large_fleet(state)
        else _BATCH_INTERVAL_NS
    )


def max_list_age(state: PresenceState) -> Nanoseconds:
    """Return how long a list counts as current after it was confirmed.

    The daemons of a large fleet fetch changes less often.
    """
    if is_large_fleet(state):
        return _LARGE_FLEET_LIST_AGE_NS
    return _LIST_AGE_NS


def is_zone_lead(
    state: PresenceState,
    own: PresenceHeartbeat,
    contact: Nanoseconds,
    now: Nanoseconds,
) -> bool:
    """Return whether this daemon renews its watches early.

    In a small fleet every entry does. In a large one it is the first entry by
    name of those in the zone that have a fresh configuration. Two leads for a
    short time are harmless.
    """
    if not is_large_fleet(state):
        return True
    return not any(
        peer.heartbeat.name < own.name
        for peer in _fresh_entries(state, own.zone, contact, now)
    )


def is_prober(state: PresenceState, own: PresenceHeartbeat) -> bool:
    """Return whether this daemon calls a failing store at short intervals.

    In a large fleet only the first entry of the zone by name does, whatever the
    age of its configuration. The others call less often, and at once when its
    heartbeats report a change.
    """
    if not is_large_fleet(state):
        return True
    return not any(
        heartbeat.is_ready and heartbeat.name < own.name
        for heartbeat in zone_heartbeats(state, own.zone)
    )


def has_missed_changes(
    state: PresenceState,
    own: PresenceHeartbeat,
    kind: int,
    seen: StoreRevision,
    *,
    in_all_zones: bool = False,
) -> bool:
    """Return whether a daemon of the zone has reported a newer change.

    Args:
        state: State of the other daemons.
        own: Newest heartbeat of this daemon.
        kind: Index of the kind in the changes of a heartbeat.
        seen: Revision up to which this daemon has seen all changes.
        in_all_zones: Whether the reports of other zones count, too.
    """
    if in_all_zones:
        return is_newer_change_known(state, kind, seen)
    return any(
        peer.heartbeat.changes[kind] > seen
        for peer in state.peers.values()
        if peer.heartbeat.zone == own.zone
        and len(peer.heartbeat.changes) > kind
    )


def is_newer_change_known(
    state: PresenceState, kind: int, seen: StoreRevision
) -> bool:
    """Return whether any other daemon has reported a newer change.

    Args:
        state: State of the other daemons.
        kind: Index of the kind in the changes of a heartbeat.
        seen: Revision up to which this daemon has seen all changes.
    """
    return any(
        peer.heartbeat.changes[kind] > seen
        for peer in state.peers.values()
        if len(peer.heartbeat.changes) > kind
    )


def choose_forwarding_target(
    state: PresenceState,
    forwarding: ForwardingState,
    own: PresenceHeartbeat,
    max_age: Nanoseconds,
    now: Nanoseconds,
) -> PresenceHeartbeat | None:
    """Return the entry to which this daemon forwards requests.

    The target is kept while it qualifies, as another entry may have an older
    configuration. An entry becomes the new target only if the store has
    confirmed its configuration since the last request.

    Args:
        state: State of the other daemons.
        forwarding: State of the forwarding, which is updated.
        own: Newest heartbeat of this daemon.
        max_age: Age up to which a confirmed configuration is fresh.
        now: Current time.

    Returns:
        The heartbeat of the entry, ``None`` if none qualifies.
    """
    entries = {
        peer.heartbeat.name: peer
        for peer in _fresh_entries(state, own.zone, max_age, now)
    }
    current = entries.get(forwarding.target)
    if current is None:
        candidates = (
            name
            for name, peer in entries.items()
            if now - configuration_age(peer, now) > forwarding.last_request_at
            and peer.heartbeat.version >= forwarding.version
        )
        forwarding.target = find_best_ranked(own.name, candidates) or ''
        current = entries.get(forwarding.target)
    if current is None:
        return None
    forwarding.version = max(forwarding.version, current.heartbeat.version)
    return current.heartbeat


def configuration_age(peer: PeerPresence, now: Nanoseconds) -> Nanoseconds:
    """Return the time since the store confirmed a daemon's configuration."""
    return peer.heartbeat.configuration_age + now - peer.last_heard_at


def _fresh_entries(
    state: PresenceState, zone: str, max_age: Nanoseconds, now: Nanoseconds
) -> Iterator[PeerPresence]:
    for peer in state.peers.values():
        heartbeat = peer.heartbeat
        is_entry = heartbeat.zone == zone and heartbeat.is_ready
        if is_entry and configuration_age(peer, now) <= max_age:
            yield peer
