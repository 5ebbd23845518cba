"""Selection of a backend server."""

from collections.abc import Callable, Collection, Iterable
from functools import partial
from random import Random
from typing import Final

from attrs import frozen

from geraniumshelf_core.dispatch.state import (
    REPORT_LIFE_NS,
    SLOW_START_NS,
    DispatchState,
    ServerState,
)
from geraniumshelf_core.units import PARTS_PER_MILLION, Nanoseconds

SlotLimit = Callable[[ServerState], int]

_LEAST_RAMP_PPM: Final = 100_000


@frozen
class ServerQuery:
    """What a request asks of the selection.

    Attributes:
        service: Service name.
        failover: Other regions that may serve it now, in order of preference.
        excluded: Names of servers that have failed it already.
    """

    service: str
    failover: tuple[str, ...] = ()
    excluded: Collection[str] = ()


def all_slots(server: ServerState) -> int:
    """Return the number of slots of a server, for a daemon without peers."""
    return server.server.slots


def choose_server(
    state: DispatchState,
    wish: ServerQuery,
    slot_limit: SlotLimit,
    random: Random,
    now: Nanoseconds,
) -> ServerState | None:
    """Return the less loaded of two random servers in the nearest place.

    Returns:
        A server with a free slot, or ``None`` if there is none.
    """
    names = state.services.get(wish.service, ())
    candidates = [
        server
        for name in names
        if name not in wish.excluded
        and is_available(server := state.servers[name], now)
        and server.full_until <= now
        and server.in_flight < in_flight_limit(server, slot_limit, now)
    ]
    for near in _by_preference(state, candidates, wish.failover, now):
        if near:
            pair = random.sample(near, min(2, len(near)))
            return min(pair, key=partial(estimated_load, now=now))
    return None


def is_available(server: ServerState, now: Nanoseconds) -> bool:
    """Return whether a server may get new work."""
    return takes_work(server) and server.ejected_until <= now


def takes_work(server: ServerState) -> bool:
    """Return whether a server takes new work unless it is ejected."""
    return not server.is_leaving and not server.is_drained


def has_servers(
    state: DispatchState, wish: ServerQuery, now: Nanoseconds
) -> bool:
    """Return whether any server may serve the wish once it has a slot."""
    return any(
        is_available(server := state.servers[name], now)
        and name not in wish.excluded
        and (server.region in wish.failover or _is_home(state, server))
        for name in state.services.get(wish.service, ())
    )


def in_flight_limit(
    server: ServerState, slot_limit: SlotLimit, now: Nanoseconds
) -> int:
    """Return how many requests a server may run for this daemon.

    A server in slow start gets at least one, so that it can warm up.
    """
    limit = slot_limit(server)
    ramp = _ramp_ppm(server, now)
    if ramp >= PARTS_PER_MILLION or limit <= 1:
        return limit
    return max(1, limit * ramp // PARTS_PER_MILLION)


def estimated_load(server: ServerState, now: Nanoseconds) -> float:
    """Return the load per slot, counting old reports less."""
    others: float = 0
    if server.reported_at is not None:
        age = min(max(0, now - server.reported_at), REPORT_LIFE_NS)
        others = server.other_requests * (1 - age / REPORT_LIFE_NS)
    ramp = _ramp_ppm(server, now) / PARTS_PER_MILLION
    return (server.in_flight + others) / (max(1, server.server.slots) * ramp)


def _ramp_ppm(server: ServerState, now: Nanoseconds) -> int:
    if server.slow_start_at is None:
        return PARTS_PER_MILLION
    age = max(0, now - server.slow_start_at)
    ramp = age * PARTS_PER_MILLION // SLOW_START_NS
    return max(_LEAST_RAMP_PPM, min(PARTS_PER_MILLION, ramp))


def _is_home(state: DispatchState, server: ServerState) -> bool:
    return server.region == state.place.region


def _by_preference(
    state: DispatchState,
    candidates: list[ServerState],
    failover: tuple[str, ...],
    now: Nanoseconds,
) -> Iterable[list[ServerState]]:
    sound = [one for one in candidates if one.avoided_until <= now]
    yield from _by_distance(state, sound, failover)
    yield from _by_distance(state, candidates, failover)


def _by_distance(
    state: DispatchState,
    candidates: list[ServerState],
    failover: tuple[str, ...],
) -> Iterable[list[ServerState]]:
    place = state.place
    yield [one for one in candidates if one.server.zone == place.zone]
    yield [one for one in candidates if _is_home(state, one)]
    for region in failover:
        yield [one for one in candidates if one.region == region]
