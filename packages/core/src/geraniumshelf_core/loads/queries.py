"""Queries on a load table and on the declared slots."""

from collections.abc import Collection

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.plan.headroom import Demand, Supply, is_recent
from geraniumshelf_core.units import MICROS_PER_UNIT, Nanoseconds


def is_server_leaving(table: LoadTable, server: str) -> bool:
    """Return whether a backend server announced that it is leaving."""
    load = table.servers.get(server)
    return load is not None and load.is_leaving


def declared_capacities(
    configuration: Configuration, service: str
) -> dict[str, int]:
    """Return the declared slots of a service in each region."""
    regions = {zone.name: zone.region for zone in configuration.zones}
    capacities: dict[str, int] = {}
    for server in configuration.servers:
        region = regions.get(server.zone)
        if server.service == service and region is not None:
            capacities[region] = capacities.get(region, 0) + server.slots
    return capacities


def region_supplies(
    table: LoadTable,
    configuration: Configuration,
    service: str,
    now: Nanoseconds,
) -> dict[str, Supply]:
    """Return the capacity and load of each region by recent reports.

    Servers without a recent report and servers of drained zones are not
    counted. If a server reports more slots than declared, the declared number
    counts.
    """
    regions = {zone.name: zone.region for zone in configuration.zones}
    supplies: dict[str, Supply] = {}
    for server in configuration.servers:
        load = table.servers.get(server.name)
        is_counted = (
            server.service == service
            and server.zone in regions
            and server.zone not in configuration.drained
        )
        if not is_counted or load is None:
            continue
        if not is_recent(load.measured_at, now):
            continue
        slots = 0 if load.is_leaving else min(load.slots, server.slots)
        region = regions[server.zone]
        subtotal = supplies.get(region, Supply(0, 0, now))
        supplies[region] = Supply(
            subtotal.capacity + slots * MICROS_PER_UNIT,
            subtotal.load + load.in_flight * MICROS_PER_UNIT,
            min(subtotal.measured_at, load.measured_at),
        )
    return supplies


def service_demand(
    table: LoadTable, service: str, live: Collection[str], now: Nanoseconds
) -> Demand:
    """Return the traffic of a service by source region.

    Args:
        table: Reports received.
        service: Service name.
        live: Names of the live entry instances.
        now: Current time, nanoseconds.
    """
    by_source: dict[str, int] = {}
    for demand in table.demands.values():
        for (name, source), requests in demand.requests.items():
            if name == service:
                by_source[source] = by_source.get(source, 0) + requests
    is_complete = all(
        instance in table.demands
        and is_recent(table.demands[instance].received_at, now)
        for instance in live
    )
    is_known = bool(live) and table.demands.keys() >= set(live)
    return Demand(by_source, is_complete and is_known, is_known)
