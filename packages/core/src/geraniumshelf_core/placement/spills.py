"""Controls which fraction of a service's objects spills to other regions.

A region with fewer servers than its callers need moves the homes of objects to
other regions. It moves them in steps, so that no more than the permitted
fraction of its requests changes region at once.
"""

from typing import Final

from geraniumshelf_core.placement.demand_plan import (
    follow_plan,
    move_shares,
    plan_by_demand,
)
from geraniumshelf_core.placement.estimates import estimated_load, typical_work
from geraniumshelf_core.placement.limited_servers import usable_slots
from geraniumshelf_core.placement.state import PlacementState, SpillState
from geraniumshelf_core.units import Nanoseconds

# Objects move out above the first load per slot and return below the second.
_SPILL_START_LOAD: Final = 0.75
_SPILL_RETURN_LOAD: Final = 0.55
# Spare slots that a region without any counts with, so that objects can also
# spill when no other region has spare slots.
_MIN_SPARE_SLOTS: Final = 0.01
# A step of this size reaches any plan: each boundary between the objects of two
# regions moves by at most 1.
_WHOLE_MOVE: Final = 1000


def adjust_spills(state: PlacementState, step: float, now: Nanoseconds) -> None:
    """Move objects out of a full region, or back, by at most one step.

    The plan by demand applies to the services for which there is one.

    Args:
        state: The state to change.
        step: Maximum change of a service's spilled fraction. By slots it
            decreases by at most half of this.
        now: Current time.
    """
    for service, spill in state.spills.items():
        plan = plan_by_demand(state, service, now)
        spill.is_by_demand = plan is not None
        if plan is not None:
            spill.is_by_slots = False
            is_bounded = state.has_placed_requests and not plan.is_urgent
            follow_plan(spill, plan, step if is_bounded else _WHOLE_MOVE)
        elif spill.is_by_slots:
            _adjust_by_slots(state, service, step, now)
        else:
            _return_to_slots(state, spill, step)


def _adjust_by_slots(
    state: PlacementState, service: str, step: float, now: Nanoseconds
) -> None:
    spill = state.spills[service]
    load = _region_load(state, service, state.place.region, now)
    if not state.policies.spills_by_load or load < _SPILL_RETURN_LOAD:
        target = spill.base_fraction
    elif load > _SPILL_START_LOAD and _has_capacity(state, service, now):
        target = 1.0
    else:
        target = max(spill.fraction, spill.base_fraction)
    spill.planned_fraction = target
    change = min(max(target - spill.fraction, -step / 2), step)
    spill.fraction += change


def _return_to_slots(
    state: PlacementState, spill: SpillState, step: float
) -> None:
    """Move from the plan by demand to that by slots, by at most one step."""
    own = state.place.region
    others = {
        region: count
        for region, count in sorted(spill.spare_slots.items())
        if region != own
    }
    scale = spill.base_fraction / max(_MIN_SPARE_SLOTS, sum(others.values()))
    target = {region: scale * count for region, count in others.items()}
    spill.planned_fraction = spill.base_fraction
    spill.is_by_slots = move_shares(spill, target, step)
    if spill.is_by_slots:
        spill.weights = spill.spare_slots


def _has_capacity(
    state: PlacementState, service: str, now: Nanoseconds
) -> bool:
    """Return whether another region can take objects of a service."""
    return any(
        _region_load(state, service, region, now) < _SPILL_START_LOAD
        for region in set(state.regions.values())
        if region != state.place.region
    )


def plan_spills(state: PlacementState) -> None:
    """Compute the base fraction and the spare slots of each service.

    The base fraction follows from the slots that this region lacks, compared
    with the average of all regions. Before the first request it takes effect
    at once, later in steps.
    """
    regions = set(state.regions.values())
    services = sorted({service for service, _ in state.usable})
    for service in services:
        slots = _slots_by_region(state, service)
        average = max(_MIN_SPARE_SLOTS, sum(slots.values()) / len(regions))
        base_fraction = max(0, 1 - slots.get(state.place.region, 0) / average)
        spill = state.spills.get(service)
        if spill is None:
            spill = SpillState()
            state.spills[service] = spill
        if not state.has_placed_requests:
            spill.fraction = base_fraction
            spill.is_by_slots = True
        spill.base_fraction = base_fraction
        spill.slots = slots
        spill.spare_slots = {
            region: max(_MIN_SPARE_SLOTS, count - average)
            for region, count in slots.items()
        }
        spill.weights = (
            spill.spare_slots
            if spill.is_by_slots
            else _usable_weights(spill, slots)
        )


def _slots_by_region(state: PlacementState, service: str) -> dict[str, float]:
    """Return the slots of the usable servers of a service in each region."""
    work = typical_work(state, service).warm
    return {
        region: sum(
            usable_slots(state.servers[name], work)
            for name in state.usable.get((service, region), ())
        )
        for region in sorted(set(state.regions.values()))
    }


def _usable_weights(
    spill: SpillState, slots: dict[str, float]
) -> dict[str, float]:
    """Return the weights without regions that have no servers left.

    Their objects have to move at once; without this they would all move to the
    region of their callers.
    """
    weights = {
        region: weight
        for region, weight in spill.weights.items()
        if slots.get(region)
    }
    return weights if sum(weights.values()) > 0 else spill.spare_slots


def _region_load(
    state: PlacementState, service: str, region: str, now: Nanoseconds
) -> float:
    """Return the load per slot, without the slots of ejected servers."""
    views = [
        state.servers[name] for name in state.usable.get((service, region), ())
    ]
    work = typical_work(state, service).warm
    slots = sum(
        usable_slots(view, work) for view in views if view.ejected_until <= now
    )
    if not slots:
        return 1
    return sum(estimated_load(view, now) for view in views) / slots
