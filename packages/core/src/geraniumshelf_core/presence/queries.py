"""Answers to callers that ask which instance to use, and counts."""

from collections.abc import Iterable, Mapping
from typing import Final

from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# With fewer entry instances than this in its zone, a caller also gets those
# of the region, so that the loss of one instance is not the loss of all.
LEAST_ENTRIES: Final = 2
# Least cores of the entries of a zone together, so that they bear callers who
# come back at once.
ENTRY_CORES: Final = 4.0
# Core seconds of one request, measured on the smaller deployments.
_REQUEST_CORES: Final = 0.0025
# Part of their cores that the entries of a zone use; the rest covers bursts
# until a standby has loaded.
_MOST_BUSY: Final = 0.4
_MOST_ENTRIES: Final = 64
_SHORTEST_INTERVAL_MS: Final = 500
_SHORTEST_INTERVAL_NS: Final[Nanoseconds] = (
    _SHORTEST_INTERVAL_MS * MILLISECOND_NS
)
_LONGEST_INTERVAL_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Beats between entries of different zones. Three of them and a half second stay
# below the time after which a dead entry must no longer be named, 6 s.
_FAR_INTERVAL_MS: Final = 1500
FAR_INTERVAL_NS: Final[Nanoseconds] = _FAR_INTERVAL_MS * MILLISECOND_NS
# Up to this many daemons send a beat to each other in the shortest interval.
_SMALL_FLEET: Final = 16
# Beats of an entry to all daemons of a zone of which it hears no entry.
_SEARCH_INTERVAL_NS: Final[Nanoseconds] = 8 * SECOND_NS
# Daemons of a zone that are taken for entries until one is heard.
_LIKELY_ENTRIES: Final = 3
_LOST_INTERVALS: Final = 3
# Limits are divided by this number while the registry is unknown, so that a
# daemon that starts during an outage of the store takes too little.
_UNKNOWN_FLEET: Final = 100


def is_large_fleet(state: PresenceState) -> bool:
    """Return whether messages between all daemons would be too many."""
    return len(state.heartbeat_targets) > _SMALL_FLEET


def heartbeat_interval(
    state: PresenceState, own: PresenceHeartbeat, name: str
) -> Nanoseconds | None:
    """Return the time between two beats to an instance, ``None`` for none.

    In a large fleet it grows with the zone, whose daemons replace each other.
    Between zones only entries tell each other that they live: links between
    zones are dear, and beats of all daemons would grow with the square of the
    fleet. Standbys hear of the entries of other zones from one of their own.
    """
    if not is_large_fleet(state):
        return _SHORTEST_INTERVAL_NS
    member = state.registered.get(name)
    if member is not None and member.zone == own.zone:
        near = zone_size(state, own.zone)
        wanted = _SHORTEST_INTERVAL_NS * near // _SMALL_FLEET
        return min(max(wanted, _SHORTEST_INTERVAL_NS), _LONGEST_INTERVAL_NS)
    if own.is_standby:
        return None
    neighbour = state.peers.get(name)
    if neighbour is not None:
        return None if neighbour.heartbeat.is_standby else FAR_INTERVAL_NS
    if member is None or _is_likely_entry(state, name, member):
        return FAR_INTERVAL_NS
    is_heard = not own.is_ready or any(
        not heartbeat.is_standby
        for heartbeat in zone_heartbeats(state, member.zone)
    )
    return None if is_heard else _SEARCH_INTERVAL_NS


def is_relay(state: PresenceState, own: PresenceHeartbeat) -> bool:
    """Return whether this daemon tells its zone of the entries of others.

    The first of the entries does, which those of other zones expect to be one.
    Without it an entry that replaces others stays unknown to those that
    replace others elsewhere. Two for a moment are harmless.
    """
    if own.is_standby or not own.is_ready:
        return False
    own_rank = rank(own.name, own.registered_instance)
    return not any(
        heartbeat.is_ready
        and rank(heartbeat.name, heartbeat.registered_instance) < own_rank
        for heartbeat in zone_heartbeats(state, own.zone)
    )


def zone_size(state: PresenceState, zone: str) -> int:
    """Return how many daemons of a zone may be alive."""
    counted = sum(one.zone == zone for one in state.registered.values())
    return max(counted, state.zone_sizes.get(zone, 0))


def _is_likely_entry(
    state: PresenceState, name: str, member: RegisteredInstance
) -> bool:
    own_rank = rank(name, member)
    before = sum(
        one.zone == member.zone and rank(other, one) < own_rank
        for other, one in state.registered.items()
    )
    return before < _LIKELY_ENTRIES


def silence_limit(heartbeat: PresenceHeartbeat) -> Nanoseconds:
    """Return the time after a beat when its silent sender counts as gone."""
    return _LOST_INTERVALS * heartbeat.next_heartbeat_in + _SHORTEST_INTERVAL_NS


def entry_addresses(
    state: PresenceState,
    own: PresenceHeartbeat,
    zone: str,
    regions: Mapping[str, str],
) -> tuple[str, ...]:
    """Return the front addresses for a caller in a zone, nearest only.

    Args:
        state: What is known of the other daemons.
        own: The next beat of this daemon.
        zone: Zone of the caller.
        regions: Region by zone.
    """
    beats = [own, *(one.heartbeat for one in state.peers.values())]
    ready = [heartbeat for heartbeat in beats if heartbeat.is_ready]
    if not ready:
        # Nothing better is known than a daemon that is not ready.
        return (own.front_address,)
    region = regions.get(zone)
    near = first_members(
        heartbeat for heartbeat in ready if heartbeat.zone == zone
    )
    if len(near) < LEAST_ENTRIES:
        near = [
            heartbeat
            for heartbeat in ready
            if regions.get(heartbeat.zone) == region
        ] or ready
    return tuple(
        sorted(heartbeat.front_address for heartbeat in near)[:_MOST_ENTRIES]
    )


def first_members(
    beats: Iterable[PresenceHeartbeat],
) -> list[PresenceHeartbeat]:
    """Return the daemons of a zone that carry its callers.

    The larger ones come first. The others stay out, so that each of those
    that remain has a useful share of the limits over all daemons.
    """
    chosen: list[PresenceHeartbeat] = []
    ordered = sorted(
        beats,
        key=lambda heartbeat: rank(
            heartbeat.name, heartbeat.registered_instance
        ),
    )
    wanted = wanted_cores(ordered)
    for heartbeat in ordered:
        cores = sum(one.cores for one in chosen)
        if len(chosen) >= LEAST_ENTRIES and cores >= wanted:
            break
        chosen.append(heartbeat)
    return chosen


def wanted_cores(beats: Iterable[PresenceHeartbeat]) -> float:
    """Return how many cores the entries of a zone need for its callers."""
    rate = sum(heartbeat.rate for heartbeat in beats)
    return max(ENTRY_CORES, rate * _REQUEST_CORES / _MOST_BUSY)


def zone_heartbeats(state: PresenceState, zone: str) -> list[PresenceHeartbeat]:
    """Return the newest beats of the other daemons of a zone."""
    return [
        neighbour.heartbeat
        for neighbour in state.peers.values()
        if neighbour.heartbeat.zone == zone
    ]


def assigned_standbys(
    state: PresenceState, own: PresenceHeartbeat
) -> list[PresenceHeartbeat]:
    """Return the standbys of the zone whose shares this daemon asks for.

    The entries of a zone divide its standbys among them; a daemon that is not
    ready has no use for more shares.
    """
    if not own.is_ready:
        return []
    beats = zone_heartbeats(state, own.zone)
    entries = sorted(
        [
            own.name,
            *(heartbeat.name for heartbeat in beats if heartbeat.is_ready),
        ]
    )
    standbys = sorted(
        (heartbeat for heartbeat in beats if heartbeat.is_standby),
        key=lambda heartbeat: heartbeat.name,
    )
    return standbys[entries.index(own.name) :: len(entries)]


def rank(name: str, member: RegisteredInstance) -> tuple[float, str]:
    """Return the place of a daemon in its zone; the least is the first."""
    return -member.cores, name


def fleet_size(state: PresenceState) -> int:
    """Return how many daemons may be alive, this one included."""
    zones = {member.zone for member in state.registered.values()}
    known = sum(zone_size(state, zone) for zone in zones)
    return _possible(state, known)


def region_size(
    state: PresenceState, region: str, regions: Mapping[str, str]
) -> int:
    """Return how many daemons of a region may be alive."""
    zones = {member.zone for member in state.registered.values()}
    near = sum(
        zone_size(state, zone) for zone in zones if regions.get(zone) == region
    )
    return _possible(state, near)


def _possible(state: PresenceState, known: int) -> int:
    if state.is_complete:
        return max(1, known)
    return max(_UNKNOWN_FLEET, known)
