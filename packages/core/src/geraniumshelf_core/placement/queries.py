"""Selects a backend server for a request.

Most work is faster on a server that has handled the same object before, and
one region has far fewer servers than its callers need at the peak. So each
object has a home server and a second home, on which all daemons agree, and a
bounded fraction of the objects has its home in another region.
"""

from collections.abc import Iterator
from itertools import islice
from math import inf
from typing import Final

from geraniumshelf_core.membership.ranking import rank_names
from geraniumshelf_core.placement.cold_starts import may_get_request
from geraniumshelf_core.placement.estimates import (
    estimated_load,
    make_candidate,
    typical_work,
)
from geraniumshelf_core.placement.limited_servers import (
    has_permit,
    is_limited,
    usable_slots,
)
from geraniumshelf_core.placement.notices import is_paused
from geraniumshelf_core.placement.pacing import open_servers
from geraniumshelf_core.placement.rejections import relative_attempts
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
    ServerView,
    SpillState,
)
from geraniumshelf_core.site.routing import hash_fraction
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_MAX_RANKINGS: Final = 20_000
# A caller for whom there is no permit retries after this time at the earliest.
_PERMIT_WAIT_NS: Final[Nanoseconds] = SECOND_NS // 2


def choose_server(
    state: PlacementState, request: PlacementRequest, now: Nanoseconds
) -> Candidate | None:
    """Return the best server for a request.

    A server that counts as full is selected only if no region has another.

    Returns:
        ``None`` if no server may get the request.
    """
    fallback: Candidate | None = None
    for region in region_order(state, request):
        candidate = _choose_in_region(state, request, region, now)
        if candidate is None:
            continue
        if candidate.view.full_until <= now:
            return candidate
        fallback = fallback or candidate
    return fallback


def region_order(
    state: PlacementState, request: PlacementRequest
) -> Iterator[str]:
    """Yield the regions that may serve a request, the preferred one first."""
    own = state.place.region
    others = _other_regions(state)
    order = (own, *others)
    spill = state.spills.get(request.service)
    if spill is not None and spill.fraction > 0:
        point = hash_fraction(f'{request.object_name}/{request.service}')
        if point < spill.fraction:
            first = _spill_region(spill, others, point / spill.fraction)
            order = (first, own, *(other for other in others if other != first))
    for region in order:
        if request.regions is None or region in request.regions:
            yield region


def preferred_servers(
    state: PlacementState, request: PlacementRequest
) -> Iterator[ServerView]:
    """Yield the servers of the region that is preferred for a request."""
    for region in islice(region_order(state, request), 1):
        for name in state.usable.get((request.service, region), ()):
            yield state.servers[name]


def preferred_limited_servers(
    state: PlacementState, request: PlacementRequest, now: Nanoseconds
) -> Iterator[ServerView]:
    """Yield the limited servers that a request prefers to all others.

    They precede the first server without a limit in the preferred region, which
    the request is sent to if there is no permit for them.
    """
    region = next(region_order(state, request), None)
    names = () if region is None else _ranking(state, request, region)
    for name in names:
        view = state.servers[name]
        is_available = _is_available(state, view, now)
        if is_available and name not in request.excluded:
            if not is_limited(view):
                return
            yield view


def is_crowded(
    state: PlacementState, service: str, region: str, now: Nanoseconds
) -> bool:
    """Return whether the servers of a service in a region are nearly full."""
    views = [
        state.servers[name] for name in state.usable.get((service, region), ())
    ]
    work = typical_work(state, service).warm
    slots = sum(usable_slots(view, work) for view in views)
    load = sum(estimated_load(view, now) for view in views)
    return load > state.policies.crowded_above * slots


def is_leaving(view: ServerView) -> bool:
    """Return whether a server is listed as draining or announced it itself."""
    return view.server.is_draining or view.notice.is_leaving


def is_still_eligible(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a server that was selected may still get a request."""
    server = view.server
    if state.servers.get(server.name) is not view or is_leaving(view):
        return False
    return server.zone not in state.evacuated and not is_paused(view, now)


def time_until_available(
    state: PlacementState, request: PlacementRequest, now: Nanoseconds
) -> Nanoseconds | None:
    """Return the time until the first server for a request is available.

    Returns:
        ``None`` if no server is paused or ejected, so that no time is known.
    """
    ends = [
        end
        for region in region_order(state, request)
        for name in state.usable.get((request.service, region), ())
        if name not in request.excluded
        and (end := _unavailable_until(state.servers[name], now)) > now
    ]
    return min(ends) - now if ends else None


def _unavailable_until(view: ServerView, now: Nanoseconds) -> Nanoseconds:
    until = max(view.notice.paused_until, view.ejected_until)
    if is_limited(view):
        return max(until, view.notice.permits.ask_after, now + _PERMIT_WAIT_NS)
    return until


def _choose_in_region(
    state: PlacementState,
    request: PlacementRequest,
    region: str,
    now: Nanoseconds,
) -> Candidate | None:
    """Return the candidate with the lowest cost in a region.

    The first eligible server of the ranking is the home of the object, where
    the object is expected to be warm. It remains the home while its pace allows
    no request, so that no other server is taken for warm instead.
    """
    best: Candidate | None = None
    min_cost: tuple[bool, float] = (True, inf)
    typical = typical_work(state, request.service)
    eligible = [
        view
        for name in _ranking(state, request, region)
        if name not in request.excluded
        and _is_eligible(state, view := state.servers[name], now)
    ]
    for view in open_servers(eligible, now):
        is_home = view is eligible[0]
        is_warm = is_home or request.object_name in view.warm_objects
        candidate = make_candidate(state, view, typical, is_warm, now)
        cost = _cost(state, candidate, now)
        if cost < min_cost:
            best, min_cost = candidate, cost
    return best


def _cost(
    state: PlacementState, candidate: Candidate, now: Nanoseconds
) -> tuple[bool, float]:
    # The extra cost accounts for the time for which the request takes a slot.
    extra = (state.policies.work_weight - 1) * candidate.expected_work
    cost = candidate.expected_latency + extra
    return (
        candidate.view.full_until > now,
        cost * relative_attempts(state, candidate.view, now),
    )


def _is_eligible(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a usable server may get a request now.

    A server that has named a limit also needs a permit.
    """
    return has_permit(view, now) and _is_available(state, view, now)


def _is_available(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a server may get a request, apart from its limit.

    An unreachable server gets one request at a time.
    """
    if view.ejected_until > now or is_paused(view, now):
        return False
    if view.is_unreachable and view.in_flight:
        return False
    return may_get_request(state, view, now)


def _other_regions(state: PlacementState) -> tuple[str, ...]:
    own = state.place.region
    return tuple(sorted(set(state.regions.values()) - {own}))


def _spill_region(
    spill: SpillState, others: tuple[str, ...], point: float
) -> str:
    """Return the region that takes a spilled object.

    Regions are chosen in proportion to their weights.

    Args:
        spill: Spill state of the service.
        others: The other regions.
        point: Position of the object among the spilled ones, 0 to 1.
    """
    remaining = point * sum(spill.weights.get(region, 0) for region in others)
    for region in others:
        remaining -= spill.weights.get(region, 0)
        if remaining < 0:
            return region
    return others[0]


def _ranking(
    state: PlacementState, request: PlacementRequest, region: str
) -> tuple[str, ...]:
    key = (request.service, region, request.object_name)
    known = state.rankings.get(key)
    if known is None:
        if len(state.rankings) >= _MAX_RANKINGS:
            state.rankings.clear()
        names = state.usable.get((request.service, region), ())
        known = rank_names(request.object_name, names)
        state.rankings[key] = known
    return known
