"""Selects a backend server by location and load."""

from collections.abc import Callable, Collection, Iterable
from functools import partial
from random import Random
from typing import Final

from attrs import frozen

from geraniumshelf_core.dispatch.state import (
    REPORT_DECAY_NS,
    SLOW_START_NS,
    DispatchState,
    ServerState,
)
from geraniumshelf_core.units import PARTS_PER_MILLION, Nanoseconds

SlotLimit = Callable[[ServerState], int]

# A slow start begins with this fraction of the capacity.
_MIN_RAMP_PPM: Final = 100_000


@frozen
class ServerQuery:
    """A request for which a server is selected.

    Attributes:
        service: Service name.
        failover: Other regions that may serve it, in order of preference.
        excluded: Names of servers on which it has failed already.
    """

    service: str
    failover: tuple[str, ...] = ()
    excluded: Collection[str] = ()


def all_slots(server: ServerState) -> int:
    """Return all slots of a server, the limit for a daemon without peers."""
    return server.server.slots


def choose_server(
    state: DispatchState,
    query: ServerQuery,
    slot_limit: SlotLimit,
    random: Random,
    now: Nanoseconds,
) -> ServerState | None:
    """Return the less loaded of two random servers of the preferred group.

    Servers that have not just failed are preferred to the others, then those
    of the own zone, the own region, and the failover regions in their order.

    Returns:
        A server with a free slot, or ``None`` if there is none.
    """
    names = state.services.get(query.service, ())
    candidates = [
        server
        for name in names
        if name not in query.excluded
        and is_available(server := state.servers[name], now)
        and server.full_until <= now
        and server.in_flight < in_flight_limit(server, slot_limit, now)
    ]
    for group in _by_preference(state, candidates, query.failover, now):
        if group:
            pair = random.sample(group, min(2, len(group)))
            return min(pair, key=partial(estimated_load, now=now))
    return None


def is_available(server: ServerState, now: Nanoseconds) -> bool:
    """Return whether a server may get new work."""
    return takes_work(server) and server.ejected_until <= now


def takes_work(server: ServerState) -> bool:
    """Return whether a server takes new work unless it is ejected."""
    return not server.is_leaving and not server.is_drained


def has_servers(
    state: DispatchState, query: ServerQuery, now: Nanoseconds
) -> bool:
    """Return whether any server may serve a request once it has a free slot."""
    return any(
        is_available(server := state.servers[name], now)
        and name not in query.excluded
        and (server.region in query.failover or _is_own_region(state, server))
        for name in state.services.get(query.service, ())
    )


def in_flight_limit(
    server: ServerState, slot_limit: SlotLimit, now: Nanoseconds
) -> int:
    """Return how many requests a server may run for this daemon.

    A server in slow start may run at least one, so that it can warm up.
    """
    limit = slot_limit(server)
    ramp = _ramp_ppm(server, now)
    if ramp >= PARTS_PER_MILLION or limit <= 1:
        return limit
    return max(1, limit * ramp // PARTS_PER_MILLION)


def estimated_load(server: ServerState, now: Nanoseconds) -> float:
    """Return the load per slot.

    Reported requests of other daemons count less the older the report is. In
    a slow start, a slot counts only in part.
    """
    others: float = 0
    if server.reported_at is not None:
        age = min(max(0, now - server.reported_at), REPORT_DECAY_NS)
        others = server.other_requests * (1 - age / REPORT_DECAY_NS)
    ramp = _ramp_ppm(server, now) / PARTS_PER_MILLION
    return (server.in_flight + others) / (max(1, server.server.slots) * ramp)


def _ramp_ppm(server: ServerState, now: Nanoseconds) -> int:
    """Return the capacity that a slow start allows, parts per million."""
    if server.slow_start_at is None:
        return PARTS_PER_MILLION
    age = max(0, now - server.slow_start_at)
    ramp = age * PARTS_PER_MILLION // SLOW_START_NS
    return max(_MIN_RAMP_PPM, min(PARTS_PER_MILLION, ramp))


def _is_own_region(state: DispatchState, server: ServerState) -> bool:
    return server.region == state.place.region


def _by_preference(
    state: DispatchState,
    candidates: list[ServerState],
    failover: tuple[str, ...],
    now: Nanoseconds,
) -> Iterable[list[ServerState]]:
    healthy = [
        candidate for candidate in candidates if candidate.avoided_until <= now
    ]
    yield from _by_distance(state, healthy, failover)
    yield from _by_distance(state, candidates, failover)


def _by_distance(
    state: DispatchState,
    candidates: list[ServerState],
    failover: tuple[str, ...],
) -> Iterable[list[ServerState]]:
    place = state.place
    yield [
        candidate
        for candidate in candidates
        if candidate.server.zone == place.zone
    ]
    yield [
        candidate
        for candidate in candidates
        if _is_own_region(state, candidate)
    ]
    for region in failover:
        yield [
            candidate for candidate in candidates if candidate.region == region
        ]
