"""Headroom of regions: how much more load each of them may be given."""

from collections.abc import Iterable, Mapping
from typing import Final

from attrs import frozen

from geraniumshelf_core.plan.model import Plan
from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    SECOND_NS,
    Nanoseconds,
)

# Fraction of each region's capacity that no move may use.
RESERVE_PPM: Final = 150_000

# Reports from other regions may be this old; older ones are ignored.
REPORT_AGE_LIMIT_S: Final = 30


@frozen
class Supply:
    """Reported capacity and load of a service in one region.

    Attributes:
        capacity: Slots of the backend servers that reported and are not
            leaving, micro-requests.
        load: Requests that these servers run, micro-requests.
        measured_at: Time of the oldest of the reports, on the own clock.
    """

    capacity: int
    load: int
    measured_at: Nanoseconds


@frozen
class Demand:
    """Requests of a service in flight at the entry instances.

    Attributes:
        by_source: Mean by source region, micro-requests.
        is_complete: Whether all entry instances have reported recently.
        is_known: Whether all entry instances have ever reported; otherwise the
            load that a move would bring is unknown.
    """

    by_source: Mapping[str, int]
    is_complete: bool
    is_known: bool = True


@frozen
class Move:
    """Load that a plan revision has moved to a region.

    Attributes:
        seen_at: Time when the revision was first seen, on the own clock.
        destination: Region name.
        load: Micro-requests.
    """

    seen_at: Nanoseconds
    destination: str
    load: int


def is_recent(measured_at: Nanoseconds, now: Nanoseconds) -> bool:
    """Return whether a report is recent enough for a decision."""
    return now - measured_at <= REPORT_AGE_LIMIT_S * SECOND_NS


def planned_loads(plan: Plan, demand: Mapping[str, int]) -> dict[str, int]:
    """Return the load of each region if all daemons apply the plan."""
    loads: dict[str, int] = {}
    for source, requests in demand.items():
        for region, weight in plan.weights_of(source).items():
            loads[region] = loads.get(region, 0) + requests * weight
    return {name: -(-load // PARTS_PER_MILLION) for name, load in loads.items()}


def plan_moves(
    old: Plan, new: Plan, demand: Mapping[str, int], seen_at: Nanoseconds
) -> tuple[Move, ...]:
    """Return the load that a revision moves to each region."""
    moves: dict[str, int] = {}
    for source, requests in demand.items():
        before = old.weights_of(source)
        for region, weight in new.weights_of(source).items():
            gain = max(0, weight - before.get(region, 0)) * requests
            moves[region] = moves.get(region, 0) + gain
    return tuple(
        Move(seen_at, name, -(-load // PARTS_PER_MILLION))
        for name, load in moves.items()
        if load
    )


def region_headroom(
    supplies: Mapping[str, Supply],
    planned: Mapping[str, int],
    moves: Iterable[Move],
    step: Nanoseconds,
    now: Nanoseconds,
) -> dict[str, int]:
    """Return how much more load each region may be given, micro-requests.

    A region without a recent report is left out. The planned load bounds the
    headroom too, so that servers that report no load cannot attract more than
    their capacity.

    Args:
        supplies: Reports by region.
        planned: Load of each region under the plan in force.
        moves: Earlier moves; reports include the load of a move one step after
            it at the latest.
        step: Duration of a step, nanoseconds.
        now: Current time, nanoseconds.
    """
    unreported: dict[str, int] = {}
    for move in moves:
        supply = supplies.get(move.destination)
        if supply and move.seen_at + step > supply.measured_at:
            earlier = unreported.get(move.destination, 0)
            unreported[move.destination] = earlier + move.load
    return {
        region: _region_headroom(
            supply, unreported.get(region, 0), planned.get(region, 0)
        )
        for region, supply in supplies.items()
        if is_recent(supply.measured_at, now)
    }


def _region_headroom(supply: Supply, unreported: int, planned: int) -> int:
    usable = supply.capacity * (PARTS_PER_MILLION - RESERVE_PPM)
    return max(
        0, usable // PARTS_PER_MILLION - max(supply.load + unreported, planned)
    )
