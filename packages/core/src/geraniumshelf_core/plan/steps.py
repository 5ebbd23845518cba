"""Calculation of the next plan revision on the way to the target."""

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

# Share of a service's traffic with which a region with cold caches starts. The
# share at most doubles with each step.
RAMP_START_PPM: Final = 50_000

# Each source counts for at least this share of all traffic, as a source that
# was idle at the measurement may send requests again while its traffic moves.
_MIN_SOURCE_PPM: Final = 10_000


@frozen
class StepInputs:
    """Inputs of the decision about the next step.

    Attributes:
        target: Weights of each source in ppm, each with a sum of a million.
        failover: Failover allowances of each source.
        demand: Traffic by source.
        headroom: Load that each region may be given, micro-requests.
        cap_ppm: Maximum share of each source's points that one step may move.
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
        is_held: Whether the target is not reached and nothing can move now.
    """

    plan: Plan | None
    is_held: bool = False


def first_plan(service: str, inputs: StepInputs, proposal_id: str) -> Plan:
    """Return revision 1, which equals the target as no plan precedes it."""
    sources = tuple(
        SourcePlan(
            source, initial_shares(weights), inputs.failover.get(source, ())
        )
        for source, weights in sorted(inputs.target.items())
    )
    return Plan(service, 1, proposal_id, sources)


def next_plan(current: Plan, inputs: StepInputs, proposal_id: str) -> Step:
    """Return the next revision within the cap, the headroom and the ramp."""
    budget = _start_budget(current, inputs)
    names = {source.source for source in current.sources}
    sources = tuple(
        SourcePlan(
            name,
            _move_source(current, name, inputs, budget),
            inputs.failover.get(name, ()),
        )
        for name in sorted(names | inputs.target.keys())
    )
    withdrawn = step_zones(
        current,
        sources,
        inputs.drains,
        planned_loads(current, budget.loads),
        inputs.cap_ppm,
    )
    is_reached = all(
        current.weights_of(source) == dict(weights)
        for source, weights in inputs.target.items()
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
    """Remaining limits of one step.

    Attributes:
        loads: Traffic that is assumed for each source, micro-requests.
        source_ppm: Limit for each source, parts per million. Demand changes
            between a report and its use, so the limit must not depend on it.
            As each source keeps the cap, any sum over sources keeps it too.
        headroom: Load that each region may still be given, micro-requests.
    """

    loads: dict[str, int]
    source_ppm: int
    headroom: dict[str, int]

    def max_move_ppm(self, source: str, region: str) -> int:
        """Return the maximum share in ppm that may move to a region."""
        headroom = self.headroom.get(region, 0)
        return headroom * PARTS_PER_MILLION // self.loads[source]

    def spend(self, source: str, region: str, share: int) -> None:
        """Subtract a move of a share in ppm from the headroom."""
        load = -(-self.loads[source] * share // PARTS_PER_MILLION)
        self.headroom[region] -= load


def _start_budget(current: Plan, inputs: StepInputs) -> _Budget:
    demand = inputs.demand
    total = sum(demand.by_source.values())
    min_load = max(1, total * _MIN_SOURCE_PPM // PARTS_PER_MILLION)
    if not total:
        min_load = PARTS_PER_MILLION
    sources = inputs.target.keys() | demand.by_source.keys()
    sources |= {source.source for source in current.sources}
    loads = {
        source: max(min_load, demand.by_source.get(source, 0))
        for source in sources
    }
    return _Budget(
        loads,
        inputs.cap_ppm,
        _ramped_headroom(current, inputs, loads),
    )


def _ramped_headroom(
    current: Plan, inputs: StepInputs, loads: Mapping[str, int]
) -> dict[str, int]:
    planned = planned_loads(current, loads)
    start = sum(loads.values()) * RAMP_START_PPM // PARTS_PER_MILLION
    return {
        region: min(
            headroom,
            max(start - planned.get(region, 0), planned.get(region, 0)),
        )
        for region, headroom in inputs.headroom.items()
    }


def _move_source(
    current: Plan, source: str, inputs: StepInputs, budget: _Budget
) -> Shares:
    shares = current.shares_of(source)
    weights = current.weights_of(source)
    target = inputs.target.get(source)
    if target is None:
        return shares
    remaining = budget.source_ppm
    for donor in _regions_above_target(weights, target):
        for recipient in sorted(target):
            share = min(
                weights[donor] - target.get(donor, 0),
                target[recipient] - weights.get(recipient, 0),
                budget.max_move_ppm(source, recipient),
                remaining,
            )
            if share > 0:
                budget.spend(source, recipient, share)
                weights[donor] -= share
                weights[recipient] = weights.get(recipient, 0) + share
                remaining -= share
    return change_shares(shares, weights)


def _regions_above_target(
    weights: Mapping[str, int], target: Mapping[str, int]
) -> list[str]:
    """Return the regions above their target, first those to be emptied."""
    above = [
        region
        for region, weight in weights.items()
        if weight > target.get(region, 0)
    ]
    return sorted(above, key=lambda region: (region in target, region))
