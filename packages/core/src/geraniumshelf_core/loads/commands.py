"""Adds reports to a load table and expires old ones."""

from geraniumshelf_core.loads.state import (
    InstanceDemand,
    LoadTable,
    ServerLoad,
)
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_core.plan.headroom import is_recent
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds


def record_loads(
    table: LoadTable, report: LoadReport, now: Nanoseconds
) -> bool:
    """Record the server loads of a zone; return whether the report is new.

    Several instances may report on the same server; the newest measurement
    counts.
    """
    if not _is_new(table, report.origin, report.sequence, now):
        return False
    measured_at = now - max(0, report.age_ms) * MILLISECOND_NS
    for server, in_flight, slots, leaving in report.servers:
        known = table.servers.get(server)
        if known is None or known.measured_at <= measured_at:
            table.servers[server] = ServerLoad(
                max(0, in_flight), max(0, slots), bool(leaving), measured_at
            )
    return True


def record_demand(
    table: LoadTable, report: DemandReport, now: Nanoseconds
) -> bool:
    """Record the traffic of an instance; return whether the report is new."""
    if not _is_new(table, f'{report.origin}/demand', report.sequence, now):
        return False
    table.demands[report.instance] = InstanceDemand(
        now,
        {
            (service, source): max(0, requests)
            for service, source, requests in report.requests
        },
    )
    return True


def expire_reports(
    table: LoadTable, live: frozenset[str], now: Nanoseconds
) -> None:
    """Expire old reports of instances that are gone, and old sequences.

    The traffic of a live instance that no longer reports is kept, because its
    callers still send requests.
    """
    for instance, demand in tuple(table.demands.items()):
        if instance not in live and not is_recent(demand.received_at, now):
            table.demands.pop(instance)
    for origin, (_, received_at) in tuple(table.sequences.items()):
        if not is_recent(received_at, now):
            table.sequences.pop(origin)


def _is_new(
    table: LoadTable, origin: str, sequence: int, now: Nanoseconds
) -> bool:
    known, _ = table.sequences.get(origin, (-1, 0))
    if sequence <= known:
        return False
    table.sequences[origin] = (sequence, now)
    return True
