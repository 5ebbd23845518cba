"""Gathers the inputs of the decision about the next step of a plan."""

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration, Service
from geraniumshelf_core.loads.queries import (
    declared_capacities,
    region_supplies,
    service_demand,
)
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.plan.headroom import (
    Demand,
    Move,
    plan_moves,
    planned_loads,
    region_headroom,
)
from geraniumshelf_core.plan.model import Failover
from geraniumshelf_core.plan.steps import StepInputs
from geraniumshelf_core.plan.target import (
    drained_regions,
    failover_allowances,
    target_weights,
)
from geraniumshelf_core.plan.timing import min_step_interval
from geraniumshelf_core.plan.zones import limit_drained_regions, zone_drains
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.steering.plans import HeldPlan


@frozen
class ProposerView:
    """The plan of a service and the liveness known to a proposer.

    Attributes:
        held: The highest known plan revision, ``None`` if there is none.
        live_instances: Names of the live entry instances.
        failed_regions: Names of the failed regions.
    """

    held: HeldPlan | None
    live_instances: frozenset[str]
    failed_regions: frozenset[str]


def build_step_inputs(
    configuration: Configuration,
    service: Service,
    load_table: LoadTable,
    view: ProposerView,
    now: Nanoseconds,
) -> StepInputs:
    """Return the inputs of the decision about the next step of a service.

    Args:
        configuration: The configuration in force.
        service: The service.
        load_table: Received reports of loads and traffic.
        view: The plan, the live instances and the failed regions.
        now: Current time, nanoseconds.
    """
    held = view.held
    unusable_regions = drained_regions(configuration) | view.failed_regions
    demand = service_demand(load_table, service.name, view.live_instances, now)
    supplies = (
        region_supplies(load_table, configuration, service.name, now)
        if demand.is_known
        else {}
    )
    drains = zone_drains(configuration, supplies, demand.is_complete)
    plan = held.plan if held else None
    capacities = {
        region: slots
        for region, slots in declared_capacities(
            configuration, service.name
        ).items()
        if region not in unusable_regions
    }
    target = target_weights(
        configuration, service.name, capacities, unusable_regions
    )
    return StepInputs(
        limit_drained_regions(
            target, drains, plan, demand.by_source, capacities
        ),
        _failover_by_region(configuration, service.name, unusable_regions),
        demand,
        region_headroom(
            supplies,
            planned_loads(plan, demand.by_source) if plan else {},
            _recent_moves(held, demand),
            min_step_interval(service),
            now,
        ),
        service.shift_cap.share_ppm,
        drains,
    )


def _failover_by_region(
    configuration: Configuration, service: str, unusable_regions: frozenset[str]
) -> dict[str, Failover]:
    return {
        region.name: _usable_allowances(
            configuration, service, region.name, unusable_regions
        )
        for region in configuration.regions
    }


def _usable_allowances(
    configuration: Configuration,
    service: str,
    source: str,
    unusable_regions: frozenset[str],
) -> Failover:
    return tuple(
        pair
        for pair in failover_allowances(configuration, service, source)
        if pair[0] not in unusable_regions
    )


def _recent_moves(held: HeldPlan | None, demand: Demand) -> tuple[Move, ...]:
    if held is None:
        return ()
    return tuple(
        move
        for change in held.changes
        for move in plan_moves(
            change.before, change.after, demand.by_source, change.seen_at
        )
    )
