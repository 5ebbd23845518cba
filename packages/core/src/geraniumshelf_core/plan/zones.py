"""Drains of single zones within a region."""

from collections.abc import Mapping
from typing import Final

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.lookup.shares import count_moved
from geraniumshelf_core.plan.headroom import RESERVE_PPM, Supply
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_core.plan.target import (
    Weights,
    drained_regions,
    scale_weights,
)
from geraniumshelf_core.units import PARTS_PER_MILLION

# Maximum share that a zone gets back per step after a drain, as its caches are
# cold.
RETURN_STEP_PPM: Final = 50_000

Withdrawn = tuple[tuple[str, int], ...]


@frozen
class ZoneDrains:
    """Single zones that are drained.

    Attributes:
        regions: Region by drained zone.
        limits: Load that the other zones of a region can serve,
            micro-requests. Regions that are drained as a whole or have no
            recent report are left out.
        is_known: Whether the demand is known completely.
    """

    regions: Mapping[str, str]
    limits: Mapping[str, int]
    is_known: bool


NO_DRAINS: Final = ZoneDrains({}, {}, is_known=False)


def drained_zones(configuration: Configuration) -> dict[str, str]:
    """Return the region of each drained zone."""
    return {
        zone.name: zone.region
        for zone in configuration.zones
        if zone.name in configuration.drained
    }


def zone_drains(
    configuration: Configuration,
    supplies: Mapping[str, Supply],
    is_known: bool,
) -> ZoneDrains:
    """Return the drains of single zones.

    Args:
        configuration: The configuration in force.
        supplies: Recent reports, without the servers of drained zones.
        is_known: Whether the demand is known completely.
    """
    whole = drained_regions(configuration)
    regions = drained_zones(configuration)
    usable_ppm = PARTS_PER_MILLION - RESERVE_PPM
    limits = {
        region: supplies[region].capacity * usable_ppm // PARTS_PER_MILLION
        for region in regions.values()
        if region in supplies and region not in whole
    }
    return ZoneDrains(regions, limits, is_known)


def limit_drained_regions(
    targets: Mapping[str, Weights],
    drains: ZoneDrains,
    plan: Plan | None,
    demand: Mapping[str, int],
    capacities: Mapping[str, int],
) -> dict[str, Weights]:
    """Return targets without load that the remaining zones cannot serve.

    A region with a drained zone never gets a larger share than it has, so that
    changes of demand do not move the same clients back and forth.

    Args:
        targets: Target weights of each source.
        drains: Drained zones.
        plan: The plan in force, ``None`` before the first.
        demand: Traffic by source, micro-requests.
        capacities: Slots of the regions that may be used.
    """
    relieved = {source: dict(row) for source, row in targets.items()}
    if plan is None or not drains.is_known:
        return relieved
    for region, limit in sorted(drains.limits.items()):
        planned = sum(
            demand.get(source, 0) * row.get(region, 0)
            for source, row in relieved.items()
        )
        fraction = min(1, limit * PARTS_PER_MILLION / max(1, planned))
        for name, weights in relieved.items():
            kept = min(
                plan.weights_of(name).get(region, 0),
                int(weights.get(region, 0) * fraction),
            )
            _redistribute(weights, region, kept, {**capacities, region: 0})
    return relieved


def step_zones(
    plan: Plan,
    sources: tuple[SourcePlan, ...],
    drains: ZoneDrains,
    loads: Mapping[str, int],
    cap_ppm: int,
) -> Withdrawn:
    """Return the points of zones that are withdrawn after the next step.

    Args:
        plan: The plan in force.
        sources: Sources of the next revision.
        drains: Drained zones.
        loads: Load of each region under the plan in force, micro-requests.
        cap_ppm: Maximum points to move, including those of the sources.
    """
    remaining = cap_ppm - max_moved_ppm(plan, sources)
    withdrawn = dict(plan.withdrawn)
    for zone in sorted(withdrawn.keys() | drains.regions.keys()):
        old = withdrawn.get(zone, 0)
        new = old
        if zone not in drains.regions:
            new = max(0, old - min(remaining, RETURN_STEP_PPM))
        elif _may_withdraw(drains, drains.regions[zone], loads):
            new = min(PARTS_PER_MILLION, old + remaining)
        remaining -= abs(new - old)
        withdrawn[zone] = new
    return tuple(sorted((name, ppm) for name, ppm in withdrawn.items() if ppm))


def max_moved_ppm(plan: Plan, sources: tuple[SourcePlan, ...]) -> int:
    """Return the largest share that a source moves, parts per million."""
    return max(
        (
            count_moved(plan.shares_of(row.source), row.shares)
            for row in sources
        ),
        default=0,
    )


def advance_withdrawn(
    withdrawn: Withdrawn, target: Withdrawn, limit: int
) -> Withdrawn:
    """Return withdrawn points that come closer to the target within a limit.

    Args:
        withdrawn: Withdrawn points of zones now.
        target: Withdrawn points to reach.
        limit: Maximum points to move, parts per million.
    """
    points, target_points, remaining = dict(withdrawn), dict(target), limit
    for zone in sorted(points.keys() | target_points.keys()):
        old = points.get(zone, 0)
        missing = target_points.get(zone, 0) - old
        points[zone] = old + max(-remaining, min(remaining, missing))
        remaining -= abs(points[zone] - old)
    return tuple(sorted((name, ppm) for name, ppm in points.items() if ppm))


def _may_withdraw(
    drains: ZoneDrains, region: str, loads: Mapping[str, int]
) -> bool:
    limit = drains.limits.get(region)
    return (
        drains.is_known and limit is not None and loads.get(region, 0) <= limit
    )


def _redistribute(
    row: Weights, region: str, kept: int, others: Mapping[str, int]
) -> None:
    weights = scale_weights(others)
    share = row.get(region, 0) - kept
    if share <= 0 or not weights:
        return
    remaining = share
    for name, weight in weights.items():
        gain = min(remaining, -(-share * weight // PARTS_PER_MILLION))
        row[name] = row.get(name, 0) + gain
        remaining -= gain
    row[region] = kept
    if kept == 0:
        row.pop(region)
