"""The next revision of a plan on the way to its target."""

from collections.abc import Mapping
from typing import Final

from attrs import define, evolve, frozen

from geraniumshelf_core.lookup.shares import (
    Shares,
    change_shares,
    initial_shares,
)
from geraniumshelf_core.plan.headroom import Demand, planned_loads
from geraniumshelf_core.plan.model import Failover, Plan, SourcePlan
from geraniumshelf_core.plan.zones import NO_DRAINS, ZoneDrains, step_zones
from geraniumshelf_core.units import PARTS_PER_MILLION

# Share of a service's traffic that a region with cold caches starts with; it
# at most doubles with each step.
RAMP_START_PPM: Final = 50_000

# A source counts for at least this part of all traffic, because a source that
# was idle when it was measured may wake up while its traffic moves.
_LEAST_SOURCE_PPM: Final = 10_000


@frozen
class StepInputs:
    """What the next step depends on.

    Attributes:
        target: Weights of each source in ppm, each with a sum of a million.
        failover: Failover allowances of each source.
        demand: Traffic by source.
        headroom: Load that each region may be given, micro-requests.
        cap_ppm: Share of each source's points that one step may move.
        drains: Single zones that are drained.
    """

    target: Mapping[str, Mapping[str, int]]
    failover: Mapping[str, Failover]
    demand: Demand
    headroom: Mapping[str, int]
    cap_ppm: int
    drains: ZoneDrains = NO_DRAINS


@frozen
class Step:
    """The outcome of a decision.

    Attributes:
        plan: The next revision, ``None`` if there is nothing to change now.
        is_held: Whether the target is not reached but nothing can move.
    """

    plan: Plan | None
    is_held: bool = False


def first_plan(service: str, situation: StepInputs, proposal_id: str) -> Plan:
    """Return revision 1, which starts at the target as nothing moves yet."""
    sources = tuple(
        SourcePlan(
            source, initial_shares(weights), situation.failover.get(source, ())
        )
        for source, weights in sorted(situation.target.items())
    )
    return Plan(service, 1, proposal_id, sources)


def next_plan(current: Plan, situation: StepInputs, proposal_id: str) -> Step:
    """Return the next revision, within the cap, the rooms and the ramp."""
    budget = _start_budget(current, situation)
    names = {source.source for source in current.sources}
    sources = tuple(
        SourcePlan(
            name,
            _move_source(current, name, situation, budget),
            situation.failover.get(name, ()),
        )
        for name in sorted(names | situation.target.keys())
    )
    withdrawn = step_zones(
        current,
        sources,
        situation.drains,
        planned_loads(current, budget.loads),
        situation.cap_ppm,
    )
    is_reached = all(
        current.weights_of(source) == dict(weights)
        for source, weights in situation.target.items()
    )
    if (sources, withdrawn) == (current.sources, current.withdrawn):
        return Step(None, is_held=not is_reached)
    revision = current.revision + 1
    return Step(
        evolve(
            current,
            revision=revision,
            proposal_id=proposal_id,
            sources=sources,
            withdrawn=withdrawn,
        )
    )


@define
class _Budget:
    """What is left of the bounds of one step.

    Attributes:
        loads: Traffic that each source counts for, micro-requests.
        source_ppm: Bound for each source, parts per million. Demand changes
            between a report and its use, so the cap must not depend on it:
            each source keeps the cap, and so does any sum over sources.
        headroom: Load that each region may still be given.
    """

    loads: dict[str, int]
    source_ppm: int
    headroom: dict[str, int]

    def largest_move(self, source: str, region: str) -> int:
        """Return the largest share in ppm that may move to a region."""
        room = self.headroom.get(region, 0)
        return room * PARTS_PER_MILLION // self.loads[source]

    def spend(self, source: str, region: str, share: int) -> None:
        """Count a move of a share in ppm."""
        load = -(-self.loads[source] * share // PARTS_PER_MILLION)
        self.headroom[region] -= load


def _start_budget(current: Plan, situation: StepInputs) -> _Budget:
    demand = situation.demand
    total = sum(demand.by_source.values())
    least = max(1, total * _LEAST_SOURCE_PPM // PARTS_PER_MILLION)
    if not total:
        least = PARTS_PER_MILLION
    sources = situation.target.keys() | demand.by_source.keys()
    sources |= {source.source for source in current.sources}
    loads = {
        source: max(least, demand.by_source.get(source, 0))
        for source in sources
    }
    return _Budget(
        loads,
        situation.cap_ppm,
        _ramped_rooms(current, situation, loads),
    )


def _ramped_rooms(
    current: Plan, situation: StepInputs, loads: Mapping[str, int]
) -> dict[str, int]:
    planned = planned_loads(current, loads)
    start = sum(loads.values()) * RAMP_START_PPM // PARTS_PER_MILLION
    return {
        region: min(
            room, max(start - planned.get(region, 0), planned.get(region, 0))
        )
        for region, room in situation.headroom.items()
    }


def _move_source(
    current: Plan, source: str, situation: StepInputs, budget: _Budget
) -> Shares:
    shares = current.shares_of(source)
    weights = current.weights_of(source)
    target = situation.target.get(source)
    if target is None:
        return shares
    left = budget.source_ppm
    for loser in _losers(weights, target):
        for gainer in sorted(target):
            share = min(
                weights[loser] - target.get(loser, 0),
                target[gainer] - weights.get(gainer, 0),
                budget.largest_move(source, gainer),
                left,
            )
            if share > 0:
                budget.spend(source, gainer, share)
                weights[loser] -= share
                weights[gainer] = weights.get(gainer, 0) + share
                left -= share
    return change_shares(shares, weights)


def _losers(weights: Mapping[str, int], target: Mapping[str, int]) -> list[str]:
    """Return regions above their target, those to be emptied first."""
    above = [
        region
        for region, weight in weights.items()
        if weight > target.get(region, 0)
    ]
    return sorted(above, key=lambda region: (region in target, region))
