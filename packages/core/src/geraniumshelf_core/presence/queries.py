"""Entry instances for callers, heartbeat intervals and fleet sizes."""

from collections.abc import Iterable, Mapping
from typing import Final

from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# With fewer entry instances than this in its zone, a caller also gets those of
# the region, so that the loss of one instance leaves it another one.
MIN_ENTRIES: Final = 2
# Minimum cores of the entries of a zone together, so that they can serve
# callers that reconnect all at once.
MIN_ENTRY_CORES: Final = 4.0
# Core seconds of one request on small deployments.
_CORE_SECONDS_PER_REQUEST: Final = 0.0025
# Fraction of their cores that the entries of a zone use; the rest covers bursts
# until a standby has loaded.
_MAX_UTILIZATION: Final = 0.4
_MAX_ADDRESSES: Final = 64
_MIN_INTERVAL_MS: Final = 500
_MIN_INTERVAL_NS: Final[Nanoseconds] = _MIN_INTERVAL_MS * MILLISECOND_NS
_MAX_INTERVAL_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Interval of heartbeats between entries of different zones. Three intervals and
# half a second stay below 6 s, the time after which callers must not be given
# the address of a dead entry any more.
_CROSS_ZONE_INTERVAL_MS: Final = 1500
CROSS_ZONE_INTERVAL_NS: Final[Nanoseconds] = (
    _CROSS_ZONE_INTERVAL_MS * MILLISECOND_NS
)
# Up to this many daemons send heartbeats to each other at the minimum interval.
_MAX_SMALL_FLEET: Final = 16
# Interval of heartbeats of an entry to all daemons of a zone from which no
# entry sends heartbeats to it.
_SEARCH_INTERVAL_NS: Final[Nanoseconds] = 8 * SECOND_NS
# Number of daemons of a zone that are presumed to be entries before they have
# sent a heartbeat.
_PRESUMED_ENTRIES: Final = 3
_MAX_MISSED_HEARTBEATS: Final = 3
# Limits are divided by at least this number until the registry has been read,
# so that a daemon that starts during an outage of the store uses too little
# rather than too much.
_ASSUMED_FLEET_SIZE: Final = 100


def is_large_fleet(state: PresenceState) -> bool:
    """Return whether the fleet is too large for messages among all daemons."""
    return len(state.heartbeat_targets) > _MAX_SMALL_FLEET


def heartbeat_interval(
    state: PresenceState, own: PresenceHeartbeat, name: str
) -> Nanoseconds | None:
    """Return the time between two heartbeats to an instance, or ``None``.

    In a large fleet the interval within a zone grows with the number of its
    daemons, which replace each other. Between zones only entries send
    heartbeats: traffic between zones is expensive, and heartbeats of all
    daemons would grow with the square of the fleet. Standbys learn of the
    entries of other zones from an entry of their own zone.

    Args:
        state: State of the other daemons.
        own: Newest heartbeat of this daemon.
        name: Name of the other instance.

    Returns:
        ``None`` if no heartbeats are sent to the instance.
    """
    if not is_large_fleet(state):
        return _MIN_INTERVAL_NS
    instance = state.registered.get(name)
    if instance is not None and instance.zone == own.zone:
        size = zone_size(state, own.zone)
        interval = _MIN_INTERVAL_NS * size // _MAX_SMALL_FLEET
        return min(max(interval, _MIN_INTERVAL_NS), _MAX_INTERVAL_NS)
    if own.is_standby:
        return None
    peer = state.peers.get(name)
    if peer is not None:
        return None if peer.heartbeat.is_standby else CROSS_ZONE_INTERVAL_NS
    if instance is None or _is_presumed_entry(state, name, instance):
        return CROSS_ZONE_INTERVAL_NS
    is_zone_known = not own.is_ready or any(
        not heartbeat.is_standby
        for heartbeat in zone_heartbeats(state, instance.zone)
    )
    return None if is_zone_known else _SEARCH_INTERVAL_NS


def is_relay(state: PresenceState, own: PresenceHeartbeat) -> bool:
    """Return whether this daemon relays heartbeats of other zones to its own.

    The highest-ranked entry does, as entries of other zones presume that it is
    an entry and send heartbeats to it. Without a relay, entries of two zones
    that both replace lost ones would not learn of each other. Two relays for a
    short time are harmless.
    """
    if own.is_standby or not own.is_ready:
        return False
    own_rank = rank_key(own.name, own.registered_instance)
    return not any(
        heartbeat.is_ready
        and rank_key(heartbeat.name, heartbeat.registered_instance) < own_rank
        for heartbeat in zone_heartbeats(state, own.zone)
    )


def zone_size(state: PresenceState, zone: str) -> int:
    """Return how many daemons of a zone may be alive."""
    registered = sum(
        instance.zone == zone for instance in state.registered.values()
    )
    return max(registered, state.zone_sizes.get(zone, 0))


def _is_presumed_entry(
    state: PresenceState, name: str, instance: RegisteredInstance
) -> bool:
    instance_rank = rank_key(name, instance)
    higher_ranked = sum(
        other.zone == instance.zone
        and rank_key(other_name, other) < instance_rank
        for other_name, other in state.registered.items()
    )
    return higher_ranked < _PRESUMED_ENTRIES


def heartbeat_timeout(heartbeat: PresenceHeartbeat) -> Nanoseconds:
    """Return the time after which the sender of a heartbeat counts as lost."""
    return (
        _MAX_MISSED_HEARTBEATS * heartbeat.next_heartbeat_in + _MIN_INTERVAL_NS
    )


def entry_addresses(
    state: PresenceState,
    own: PresenceHeartbeat,
    zone: str,
    regions: Mapping[str, str],
) -> tuple[str, ...]:
    """Return the front addresses of the nearest entries for a caller.

    Args:
        state: State of the other daemons.
        own: Next heartbeat of this daemon.
        zone: Zone of the caller.
        regions: Region by zone.
    """
    heartbeats = [own, *(peer.heartbeat for peer in state.peers.values())]
    ready = [heartbeat for heartbeat in heartbeats if heartbeat.is_ready]
    if not ready:
        # No daemon is known to be ready, so this one is as good as any other.
        return (own.front_address,)
    region = regions.get(zone)
    near = select_entries(
        heartbeat for heartbeat in ready if heartbeat.zone == zone
    )
    if len(near) < MIN_ENTRIES:
        near = [
            heartbeat
            for heartbeat in ready
            if regions.get(heartbeat.zone) == region
        ] or ready
    return tuple(
        sorted(heartbeat.front_address for heartbeat in near)[:_MAX_ADDRESSES]
    )


def select_entries(
    heartbeats: Iterable[PresenceHeartbeat],
) -> list[PresenceHeartbeat]:
    """Return the daemons of a zone that serve its callers.

    Daemons with more cores are preferred. The others are left out, so that
    each selected one gets a useful share of the limits of the fleet.
    """
    selected: list[PresenceHeartbeat] = []
    ordered = sorted(
        heartbeats,
        key=lambda heartbeat: rank_key(
            heartbeat.name, heartbeat.registered_instance
        ),
    )
    required = required_cores(ordered)
    for heartbeat in ordered:
        cores = sum(entry.cores for entry in selected)
        if len(selected) >= MIN_ENTRIES and cores >= required:
            break
        selected.append(heartbeat)
    return selected


def required_cores(heartbeats: Iterable[PresenceHeartbeat]) -> float:
    """Return how many cores the entries of a zone need for its callers."""
    rate = sum(heartbeat.rate for heartbeat in heartbeats)
    return max(
        MIN_ENTRY_CORES, rate * _CORE_SECONDS_PER_REQUEST / _MAX_UTILIZATION
    )


def zone_heartbeats(state: PresenceState, zone: str) -> list[PresenceHeartbeat]:
    """Return the newest heartbeats of the other daemons of a zone."""
    return [
        peer.heartbeat
        for peer in state.peers.values()
        if peer.heartbeat.zone == zone
    ]


def assigned_standbys(
    state: PresenceState, own: PresenceHeartbeat
) -> list[PresenceHeartbeat]:
    """Return the standbys of the zone from which this daemon requests shares.

    The entries of a zone divide its standbys among themselves. A daemon that
    is not ready has no use for more shares.
    """
    if not own.is_ready:
        return []
    heartbeats = zone_heartbeats(state, own.zone)
    entries = sorted(
        [
            own.name,
            *(heartbeat.name for heartbeat in heartbeats if heartbeat.is_ready),
        ]
    )
    standbys = sorted(
        (heartbeat for heartbeat in heartbeats if heartbeat.is_standby),
        key=lambda heartbeat: heartbeat.name,
    )
    return standbys[entries.index(own.name) :: len(entries)]


def rank_key(name: str, instance: RegisteredInstance) -> tuple[float, str]:
    """Return the sort key of a daemon in its zone, the highest rank first."""
    return -instance.cores, name


def fleet_size(state: PresenceState) -> int:
    """Return how many daemons may be alive, this one included."""
    zones = {instance.zone for instance in state.registered.values()}
    known = sum(zone_size(state, zone) for zone in zones)
    return _bound_size(state, known)


def region_size(
    state: PresenceState, region: str, regions: Mapping[str, str]
) -> int:
    """Return how many daemons of a region may be alive."""
    zones = {instance.zone for instance in state.registered.values()}
    known = sum(
        zone_size(state, zone) for zone in zones if regions.get(zone) == region
    )
    return _bound_size(state, known)


def _bound_size(state: PresenceState, known: int) -> int:
    if state.is_complete:
        return max(1, known)
    return max(_ASSUMED_FLEET_SIZE, known)
