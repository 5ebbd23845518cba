"""Plans which objects of a service other regions take, by demand.

An object that changes region is cold there and its first response is late, and
each later one takes the delay between regions longer. So a region spills only
what its servers cannot handle in time, and objects that have moved stay where
they are while their servers have room.
"""

from math import sqrt
from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.demand import demand_by_region
from geraniumshelf_core.placement.estimates import typical_work
from geraniumshelf_core.placement.state import PlacementState, SpillState
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Load per slot up to which a region keeps its objects. With 3 slots a server,
# 6% of the requests wait for longer than 1.5 warm runs at this load, which
# makes them late; 13% do at 0.7 and 26% at 0.8. Each object that moves costs
# two late responses, one in each direction.
_COMFORTABLE_LOAD: Final = 0.6
# Load per slot of all regions together above which the plan by slots applies,
# and below which the demand counts again. No region has slots to spare for the
# cold runs of objects that move then.
_CROWDED_LOAD: Final = 0.85
_UNCROWDED_LOAD: Final = 0.75
# Weight of a new measurement of that load, taken each quarter of a second. The
# daemons of a region should agree on the plan, so noise must not decide.
_LOAD_GAIN: Final = 0.05
# Load of a region, relative to the load that a region keeps at most, up to
# which it takes objects of others. Without this difference objects would
# follow each change of the demand, later than it because of the capped steps.
_ROOM_FACTOR: Final = 1.25
# Objects do not move for a smaller difference of the spilled fraction.
_MIN_CHANGE: Final = 0.03
# Standard deviation of an extrapolated rate of 1 a second whose requests
# arrive at random. It grows with the square root of the rate.
_RATE_DEVIATION: Final = 1.6
# Requests a second; only keeps quotients finite.
_MIN_RATE: Final = 0.001
# Limit of the difference that is ignored for rare requests.
_MAX_IGNORED_CHANGE: Final = 0.15
# Objects for which both this and another region have room return at this
# fraction of the step, so that a swing of the demand does not move them to and
# fro.
_RETURN_RATE: Final = 0.125


@frozen
class DemandPlan:
    """Which fraction of a service's objects other regions should take.

    Attributes:
        needed: Fraction that this region cannot keep.
        limits: Fraction that each other region has room for.
        ignored_change: Change of the fractions below which no object moves.
        is_urgent: Whether this region has no servers left, so that all its
            objects have to move at once.
    """

    needed: float
    limits: dict[str, float]
    ignored_change: float
    is_urgent: bool = False


def plan_by_demand(
    state: PlacementState, service: str, now: Nanoseconds
) -> DemandPlan | None:
    """Record the load of a service and return the plan for it.

    Returns:
        ``None`` if the plan by slots applies, because the demand of a region
        is unknown or no region has slots to spare.
    """
    if not (state.policies.plans_by_demand and state.demand.is_exchanged):
        return None
    own = state.place.region
    spill = state.spills[service]
    slots = spill.slots
    demand = demand_by_region(state.demand, service, now)
    if not _is_known(state, slots, demand):
        return None
    if not sum(slots.values()) or not demand[own]:
        # There is nothing to move or no place to move it to.
        others = (region for region in slots if region != own)
        return DemandPlan(0, dict.fromkeys(others, float(1)), 1)
    mean = sum(demand.values()) / sum(slots.values())
    full = SECOND_NS / _mean_work(state, service)
    if _is_crowded(spill, mean / full):
        return None
    return _balance(own, slots, demand, max(mean, _COMFORTABLE_LOAD * full))


def follow_plan(spill: SpillState, plan: DemandPlan, step: float) -> None:
    """Move the spilled fractions towards a plan by at most one step."""
    current = current_shares(spill, tuple(plan.limits))
    kept = {
        region: min(share, plan.limits[region])
        for region, share in current.items()
    }
    missing = plan.needed - sum(kept.values())
    left = {region: plan.limits[region] - kept[region] for region in kept}
    target = kept
    if missing > 0 and sum(left.values()) > 0:
        scale = missing / sum(left.values())
        target = {
            region: kept[region] + scale * left[region] for region in kept
        }
    spill.planned_fraction = max(plan.needed, sum(target.values()))
    if _moved(current, target) > plan.ignored_change:
        move_shares(spill, target, step)
    elif -missing > plan.ignored_change:
        _return_objects(spill, plan, kept, step)


def _return_objects(
    spill: SpillState, plan: DemandPlan, kept: dict[str, float], step: float
) -> None:
    """Return objects for which this region has slots.

    Objects beyond the plan by slots return at the full step, as after the
    return of an evacuated zone; the others slowly.
    """
    total = sum(kept.values())
    end = max(plan.needed, spill.base_fraction)
    if end + plan.ignored_change >= total:
        step *= _RETURN_RATE
        end = plan.needed
    target = {region: share * end / total for region, share in kept.items()}
    move_shares(spill, target, step)


def current_shares(
    spill: SpillState, others: tuple[str, ...]
) -> dict[str, float]:
    """Return the fraction of the objects that each other region has."""
    total = sum(spill.weights.get(region, 0) for region in others)
    scale = spill.fraction / total if total else 0
    return {region: scale * spill.weights.get(region, 0) for region in others}


def move_shares(
    spill: SpillState, target: dict[str, float], step: float
) -> bool:
    """Move the spilled fractions towards a target; return whether it is met.

    Objects lie side by side in the order of the regions, so an object moves
    for each change of the boundary between two regions.
    """
    current = current_shares(spill, tuple(target))
    moved = _moved(current, target)
    progress = min(1, step / moved) if moved else 1
    shares = {
        region: current[region] + progress * (share - current[region])
        for region, share in target.items()
    }
    spill.fraction = min(1, sum(shares.values()))
    if spill.fraction > 0:
        spill.weights = shares
    return progress >= 1


def _is_crowded(spill: SpillState, load: float) -> bool:
    former = load if spill.load is None else spill.load
    spill.load = former + _LOAD_GAIN * (load - former)
    limit = _CROWDED_LOAD if spill.is_by_demand else _UNCROWDED_LOAD
    return spill.load > limit


def _balance(
    own: str,
    slots: dict[str, float],
    demand: dict[str, float],
    per_slot: float,
) -> DemandPlan:
    """Return the plan by which no region has more than it should handle.

    Args:
        own: Region of this daemon, with some demand.
        slots: Slots by region.
        demand: Requests a second by region.
        per_slot: Requests a second for each slot that a region keeps at most.
    """
    excess = {
        region: max(0, demand.get(region, 0) - count * per_slot)
        for region, count in slots.items()
    }
    room = {
        region: max(0, count * per_slot * _ROOM_FACTOR - demand.get(region, 0))
        for region, count in slots.items()
    }
    total_room = sum(room.values())
    # Room that no region needs is divided by slots.
    unneeded = max(0, total_room - sum(excess.values()))
    part = excess[own] + unneeded * slots[own] / sum(slots.values())
    scale = part / max(total_room, part, _MIN_RATE) / demand[own]
    needed = min(1, excess[own] / demand[own])
    ignored = (1 - needed) * _RATE_DEVIATION / sqrt(demand[own])
    return DemandPlan(
        needed,
        {
            region: min(1, scale * spare)
            for region, spare in room.items()
            if region != own
        },
        min(max(ignored, _MIN_CHANGE), _MAX_IGNORED_CHANGE),
        is_urgent=not slots[own],
    )


def _moved(current: dict[str, float], target: dict[str, float]) -> float:
    """Return which fraction of all objects changes region."""
    moved = float(0)
    boundary = float(0)
    for region, share in target.items():
        boundary += share - current[region]
        moved += abs(boundary)
    return moved


def _is_known(
    state: PlacementState, slots: dict[str, float], demand: dict[str, float]
) -> bool:
    """Return whether each region that takes part has been heard."""
    with_servers = {region for region, count in slots.items() if count}
    needed = with_servers | state.demand.entry_regions | {state.place.region}
    return needed <= set(demand)


def _mean_work(state: PlacementState, service: str) -> float:
    work = typical_work(state, service)
    return max(1, work.warm + work.cold_fraction * (work.cold - work.warm))
