"""Controls which fraction of a service's objects spills to other regions.

A region with fewer servers than its callers need moves the homes of objects to
other regions. It moves them in steps, so that no more than the permitted
fraction of its requests changes region at once.
"""

from typing import Final

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


def adjust_spills(state: PlacementState, step: float, now: Nanoseconds) -> None:
    """Move objects out of a full region, or back, by at most one step.

    Args:
        state: The state to change.
        step: Maximum increase of a service's spilled fraction. It decreases by
            at most half of this.
        now: Current time.
    """
    own = state.place.region
    for service, spill in state.spills.items():
        load = _region_load(state, service, own, now)
        if not state.policies.spills_by_load or load < _SPILL_RETURN_LOAD:
            target = spill.base_fraction
        elif load > _SPILL_START_LOAD and _has_capacity(state, service, now):
            target = 1.0
        else:
            target = max(spill.fraction, spill.base_fraction)
        change = min(max(target - spill.fraction, -step / 2), step)
        spill.fraction += change


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
        work = typical_work(state, service).warm
        slots = {
            region: sum(
                usable_slots(state.servers[name], work)
                for name in state.usable.get((service, region), ())
            )
            for region in regions
        }
        average = max(_MIN_SPARE_SLOTS, sum(slots.values()) / len(regions))
        base_fraction = max(0, 1 - slots.get(state.place.region, 0) / average)
        spill = state.spills.get(service)
        if spill is None:
            spill = SpillState()
            state.spills[service] = spill
        if not state.has_placed_requests:
            spill.fraction = base_fraction
        spill.base_fraction = base_fraction
        spill.spare_slots = {
            region: max(_MIN_SPARE_SLOTS, count - average)
            for region, count in slots.items()
        }


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
