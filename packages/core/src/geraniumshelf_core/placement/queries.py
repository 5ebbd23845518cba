"""Choice of a backend server.

Answers a load in which most work is faster on a server that has handled the
same object before, and in which one region has far fewer servers than its
callers need at the peak: one home for each object, a second home that all
daemons agree on, and a bounded share of objects with a home in another
region.
"""

from collections.abc import Iterator
from math import inf
from typing import Final

from geraniumshelf_core.membership.ranking import ranked
from geraniumshelf_core.placement.notices import is_paused
from geraniumshelf_core.placement.state import (
    REPORT_LIFE_NS,
    Candidate,
    PlacementRequest,
    PlacementState,
    ServerView,
    SpillState,
    TypicalWork,
)
from geraniumshelf_core.shares.division import whole_units
from geraniumshelf_core.shares.holding import held_shares
from geraniumshelf_core.site.routing import hash_fraction
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Expected times of a service that has not answered yet.
_FIRST_WARM_MS: Final = 120
_FIRST_WARM_NS: Final[Nanoseconds] = _FIRST_WARM_MS * MILLISECOND_NS
_FIRST_COLD_MS: Final = 400
_FIRST_COLD_NS: Final[Nanoseconds] = _FIRST_COLD_MS * MILLISECOND_NS
# One request and its answer between regions; the longest link of the
# deployments takes 35 ms one way.
_REGION_TRAVEL_MS: Final = 70
_REGION_TRAVEL_NS: Final[Nanoseconds] = _REGION_TRAVEL_MS * MILLISECOND_NS
_ZONE_TRAVEL_NS: Final[Nanoseconds] = 10 * MILLISECOND_NS
# The slowness of a server counts half after this time without answers,
# so that a server that was slow is tried again.
_WORK_HALF_LIFE_NS: Final[Nanoseconds] = 2 * SECOND_NS
COLD_WINDOW_NS: Final[Nanoseconds] = SECOND_NS
_MOST_RANKS: Final = 20_000


def choose_server(
    state: PlacementState, wish: PlacementRequest, now: Nanoseconds
) -> Candidate | None:
    """Return the server for a request, ``None`` if no server may get it."""
    fallback: Candidate | None = None
    for region in region_order(state, wish):
        choice = _choose_in(state, wish, region, now)
        if choice is None:
            continue
        if choice.view.full_until <= now:
            return choice
        fallback = fallback or choice
    return fallback


def region_order(
    state: PlacementState, wish: PlacementRequest
) -> Iterator[str]:
    """Return the regions that may serve a request, the preferred one first."""
    own = state.place.region
    others = _other_regions(state)
    order = (own, *others)
    spill = state.spills.get(wish.service)
    if spill is not None and spill.fraction > 0:
        point = hash_fraction(f'{wish.object_name}/{wish.service}')
        if point < spill.fraction:
            first = _spill_region(spill, others, point / spill.fraction)
            order = (first, own, *(one for one in others if one != first))
    for region in order:
        if wish.regions is None or region in wish.regions:
            yield region


def estimated_load(view: ServerView, now: Nanoseconds) -> float:
    """Return the requests that a server runs and queues now."""
    if view.reported_at is None:
        return view.in_flight
    age = min(now - view.reported_at, REPORT_LIFE_NS)
    return view.in_flight + view.other_requests * (1 - age / REPORT_LIFE_NS)


def typical_work(state: PlacementState, service: str) -> TypicalWork:
    """Return the usual times of a service's answers."""
    known = state.typical_work_times.get(service)
    return known or TypicalWork(_FIRST_WARM_NS, _FIRST_COLD_NS)


def looks_warm(usual: TypicalWork, work: Nanoseconds) -> bool:
    """Return whether work took about as long as for a warm object.

    The border is the geometric mean of both usual times.
    """
    return work**2 < usual.warm * usual.cold


def slowness(view: ServerView, now: Nanoseconds) -> float:
    """Return how many times the usual time a server takes."""
    halvings = min((now - view.last_answer_at) / _WORK_HALF_LIFE_NS, 10)
    return 1 + (view.slowness - 1) * float(0.5**halvings)


def is_cold(view: ServerView, now: Nanoseconds) -> bool:
    """Return whether a server bears only few requests a second."""
    return view.cold_until > now


def is_crowded(
    state: PlacementState, service: str, region: str, now: Nanoseconds
) -> bool:
    """Return whether the servers of a service in a region are nearly full."""
    views = [
        state.servers[name] for name in state.usable.get((service, region), ())
    ]
    slots = sum(view.server.slots for view in views)
    load = sum(estimated_load(view, now) for view in views)
    return load > state.policies.crowded_above * slots


def is_leaving(view: ServerView) -> bool:
    """Return whether a server is listed as draining or has said so itself."""
    return view.server.is_draining or view.notice.is_leaving


def is_still_eligible(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a server that was chosen may still get a request."""
    server = view.server
    if state.servers.get(server.name) is not view or is_leaving(view):
        return False
    return server.zone not in state.evacuated and not is_paused(view, now)


def time_until_available(
    state: PlacementState, wish: PlacementRequest, now: Nanoseconds
) -> Nanoseconds | None:
    """Return the time until the first server of a request takes work again.

    Returns:
        ``None`` if no server is passed over for a time that is known.
    """
    ends = [
        end
        for region in region_order(state, wish)
        for name in state.usable.get((wish.service, region), ())
        if name not in wish.excluded
        and (end := _passed_over_until(state.servers[name])) > now
    ]
    return min(ends) - now if ends else None


def _passed_over_until(view: ServerView) -> Nanoseconds:
    return max(view.notice.paused_until, view.ejected_until)


def has_cold_capacity(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether this daemon may send a request to a cold server now."""
    if view.region != state.place.region:
        return False
    share = state.cold_rate_per_share.get(view.server.service, 0)
    recent = sum(now - at <= COLD_WINDOW_NS for at in view.cold_send_times)
    return recent < whole_units(share, held_shares(state.holding, now))


def _choose_in(
    state: PlacementState, wish: PlacementRequest, region: str, now: Nanoseconds
) -> Candidate | None:
    best: Candidate | None = None
    least: tuple[bool, float] = (True, inf)
    usual = typical_work(state, wish.service)
    has_home = False
    for name in _ranks(state, wish, region):
        view = state.servers[name]
        if name in wish.excluded or not _may_get(state, view, now):
            continue
        is_warm = not has_home or wish.object_name in view.warm_objects
        choice = _judge(state, view, usual, is_warm, now)
        cost = _cost(state, choice, now)
        if cost < least:
            best, least = choice, cost
        has_home = True
    return best


def _judge(
    state: PlacementState,
    view: ServerView,
    usual: TypicalWork,
    is_warm: bool,
    now: Nanoseconds,
) -> Candidate:
    factor = slowness(view, now)
    slots = max(1, view.server.slots)
    queued = max(0, estimated_load(view, now) - slots + 1)
    work = usual.warm if is_warm else usual.cold
    return Candidate(
        view,
        round(queued * usual.warm * factor / slots),
        round(work * factor),
        _travel(state, view),
        round(usual.warm),
        estimated_load(view, now) / slots,
    )


def _cost(
    state: PlacementState, choice: Candidate, now: Nanoseconds
) -> tuple[bool, float]:
    # Besides the time of the answer, the time for which a slot is taken.
    extra = (state.policies.work_weight - 1) * choice.expected_work
    return choice.view.full_until > now, choice.expected_latency + extra


def _travel(state: PlacementState, view: ServerView) -> Nanoseconds:
    if view.region != state.place.region:
        return _REGION_TRAVEL_NS
    return 0 if view.server.zone == state.place.zone else _ZONE_TRAVEL_NS


def _may_get(state: PlacementState, view: ServerView, now: Nanoseconds) -> bool:
    if view.ejected_until > now or is_paused(view, now):
        return False
    if view.is_unreachable and view.in_flight:
        return False
    return not is_cold(view, now) or has_cold_capacity(state, view, now)


def _other_regions(state: PlacementState) -> tuple[str, ...]:
    own = state.place.region
    return tuple(sorted(set(state.regions.values()) - {own}))


def _spill_region(
    spill: SpillState, others: tuple[str, ...], point: float
) -> str:
    left = point * sum(spill.spare_slots.get(region, 0) for region in others)
    for region in others:
        left -= spill.spare_slots.get(region, 0)
        if left < 0:
            return region
    return others[0]


def _ranks(
    state: PlacementState, wish: PlacementRequest, region: str
) -> tuple[str, ...]:
    key = (wish.service, region, wish.object_name)
    known = state.rankings.get(key)
    if known is None:
        if len(state.rankings) >= _MOST_RANKS:
            state.rankings.clear()
        names = state.usable.get((wish.service, region), ())
        known = ranked(wish.object_name, names)
        state.rankings[key] = known
    return known
