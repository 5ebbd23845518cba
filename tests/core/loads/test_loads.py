"""Tests of the load table with old, repeated and exaggerated reports."""

from geraniumshelf_core.configuration.model import (
    BackendServer,
    Configuration,
    Zone,
)
from geraniumshelf_core.loads.commands import (
    expire_reports,
    record_demand,
    record_loads,
)
from geraniumshelf_core.loads.queries import (
    is_server_leaving,
    region_supplies,
    service_demand,
)
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_core.plan.headroom import Demand, Supply
from geraniumshelf_core.units import SECOND_NS

_NOW = 1000 * SECOND_NS
_CONFIGURATION = Configuration(
    'd',
    zones=(Zone('a1', 'a', 1), Zone('a2', 'a', 1)),
    servers=tuple(
        BackendServer(name, 's', zone, '127.0.0.1:1', 5, 10)
        for name, zone in (('x', 'a1'), ('y', 'a1'), ('z', 'a2'))
    ),
)


def test_late_and_repeated_reports_change_nothing() -> None:
    """If two instances report on a zone, the newer measurement must count."""
    table = LoadTable()
    assert record_loads(
        table, LoadReport('p', 1, 9, 0, (('x', 1, 5, 1),)), _NOW
    )
    assert not record_loads(
        table, LoadReport('p', 1, 9, 0, (('x', 2, 5, 0),)), _NOW
    )
    record_loads(table, LoadReport('q', 9, 9, 2000, (('x', 3, 5, 0),)), _NOW)
    assert table.servers['x'].in_flight == 1
    assert is_server_leaving(table, 'x')
    assert not is_server_leaving(table, 'unknown')


def test_supply_counts_recent_declared_slots() -> None:
    """A report of more slots than declared must not raise the capacity."""
    table = LoadTable()
    record_loads(
        table,
        LoadReport('p', 1, 9, 1000, (('x', 2, 999, 0), ('y', 1, 5, 1))),
        _NOW,
    )
    record_loads(table, LoadReport('q', 1, 9, 31_000, (('z', 0, 5, 0),)), _NOW)
    assert region_supplies(table, _CONFIGURATION, 's', _NOW) == {
        'a': Supply(5_000_000, 3_000_000, _NOW - SECOND_NS)
    }


def test_demand_is_complete_only_with_all_instances() -> None:
    """Traffic of an instance that does not report must not count as none."""
    table = LoadTable()
    live = frozenset('ij')
    record_demand(table, DemandReport('i', 'i#1', 1, 9, (('s', 'a', 7),)), _NOW)
    assert service_demand(table, 's', live, _NOW) == Demand(
        {'a': 7}, False, False
    )
    record_demand(table, DemandReport('j', 'j#1', 1, 9, (('s', 'a', 2),)), _NOW)
    assert service_demand(table, 's', live, _NOW) == Demand({'a': 9}, True)
    later = _NOW + 31 * SECOND_NS
    record_demand(
        table, DemandReport('i', 'i#1', 2, 9, (('s', 'a', 7),)), later
    )
    expire_reports(table, live, later)
    assert service_demand(table, 's', live, later) == Demand({'a': 9}, False)
    expire_reports(table, frozenset('i'), later)
    assert service_demand(table, 's', 'i', later) == Demand({'a': 7}, True)
