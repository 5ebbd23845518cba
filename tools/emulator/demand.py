"""Exchange of the demand of callers between emulated daemons."""

from collections.abc import Sequence

from geraniumshelf_core.placement.demand import (
    expire_reports,
    make_report,
    measure,
    record_report,
)
from geraniumshelf_core.units import Nanoseconds
from tools.emulator.daemons import Daemon


def exchange_demand(daemons: Sequence[Daemon], now: Nanoseconds) -> None:
    """Measure the demand at each daemon and report it to all daemons.

    Reports arrive at once: their delay is short beside the interval.
    """
    regions = frozenset(daemon.state.place.region for daemon in daemons)
    running = [
        (f'n{number}', daemon)
        for number, daemon in enumerate(daemons)
        if daemon.is_up
    ]
    for name, sender in running:
        demand = sender.state.demand
        demand.is_exchanged = True
        demand.entry_regions = regions
        measure(demand, now)
        place = sender.state.place
        report = make_report(demand, name, place.zone, now)
        for _, receiver in running:
            record_report(receiver.state.demand, report, place.region, now)
        expire_reports(demand, now)
