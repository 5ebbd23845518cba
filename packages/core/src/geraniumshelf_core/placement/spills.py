"""Which share of a service's objects has its home in another region.

Answers a region that has fewer servers than its callers need: its load moves
gradually, so that no more than the capped share of its requests changes region
at once.
"""

from typing import Final

from geraniumshelf_core.placement.queries import estimated_load
from geraniumshelf_core.placement.state import PlacementState, SpillState
from geraniumshelf_core.units import Nanoseconds

# Above the first load per slot objects move out, below the second they return.
_SPILL_ABOVE: Final = 0.75
_RETURN_BELOW: Final = 0.55
# Slots of a region that has no more than its part, when another is full.
_LEAST_SPARE: Final = 0.01


def adjust_spills(state: PlacementState, step: float, now: Nanoseconds) -> None:
    """Move objects out of a full region, or back, by at most one step.

    Args:
        state: The state to change.
        step: Largest change of a service's share.
        now: Current time.
    """
    own = state.place.region
    for service, spill in state.spills.items():
        pressure = _pressure(state, service, own, now)
        if not state.policies.spills_by_load or pressure < _RETURN_BELOW:
            wanted = spill.base_fraction
        elif pressure > _SPILL_ABOVE and _has_room(state, service, now):
            wanted = 1.0
        else:
            wanted = max(spill.fraction, spill.base_fraction)
        change = min(max(wanted - spill.fraction, -step / 2), step)
        spill.fraction += change


def _has_room(state: PlacementState, service: str, now: Nanoseconds) -> bool:
    return any(
        _pressure(state, service, region, now) < _SPILL_ABOVE
        for region in set(state.regions.values())
        if region != state.place.region
    )


def plan_spills(state: PlacementState) -> None:
    """Work out which part of each service's slots the own region lacks."""
    regions = set(state.regions.values())
    services = sorted({service for service, _ in state.usable})
    for service in services:
        slots = {
            region: sum(
                state.servers[name].server.slots
                for name in state.usable.get((service, region), ())
            )
            for region in regions
        }
        part = sum(slots.values()) / len(regions)
        base = max(0, 1 - slots.get(state.place.region, 0) / part)
        spill = state.spills.get(service)
        if spill is None:
            spill = SpillState()
            state.spills[service] = spill
        if not state.has_placed_requests:
            spill.fraction = base
        spill.base_fraction = base
        spill.spare_slots = {
            region: max(_LEAST_SPARE, count - part)
            for region, count in slots.items()
        }


def _pressure(
    state: PlacementState, service: str, region: str, now: Nanoseconds
) -> float:
    views = [
        state.servers[name] for name in state.usable.get((service, region), ())
    ]
    slots = sum(
        view.server.slots for view in views if view.ejected_until <= now
    )
    if not slots:
        return 1
    return sum(estimated_load(view, now) for view in views) / slots
