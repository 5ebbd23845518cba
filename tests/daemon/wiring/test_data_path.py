"""Tests that load reports reach the choice of backend servers."""

from tests.daemon.front.harness import FrontHarness, front_harness, run

from geraniumshelf_core.loads.commands import record_loads
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.messages.steering import LoadReport
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.steering.load_fetcher import LoadFetcher
from geraniumshelf_daemon.wiring.data_path import update_server_loads
from geraniumshelf_standins.backend.state import LoadMisreport


async def _poll(
    harness: FrontHarness, load_table: LoadTable, sequence: int
) -> None:
    fetcher = LoadFetcher()
    rows = []
    for name, state in harness.dispatcher.state.servers.items():
        load = await fetcher.fetch(state.server.address)
        if load is not None:
            counts = load.in_flight, load.slots, int(load.is_leaving)
            rows.append((name, *counts))
    record_loads(
        load_table,
        LoadReport('a#1', sequence, 0, 0, tuple(rows)),
        current_time(),
    )
    update_server_loads(load_table, harness.dispatcher.state)
    fetcher.keep_only(frozenset())


def test_reports_find_leaving_servers_and_survive_misreports() -> None:
    """Guards guarantee 10.

    A server that misreports its load and one that is gone must not keep the
    reports of the other servers from being used.
    """

    async def scenario() -> None:
        async with front_harness(servers=3, extra_ports=(1,)) as harness:
            load_table = LoadTable()
            states = harness.dispatcher.state.servers
            harness.servers[0].backend.in_flight = 1
            harness.servers[0].backend.load_history.append((0, 1))
            harness.set_faults(1, drain=True)
            harness.set_faults(2, load_lie=LoadMisreport.IDLE)
            harness.servers[2].backend.load_history.append((0, 9))
            await _poll(harness, load_table, 1)
            assert states['s1'].is_leaving
            assert states['s0'].other_requests == 1
            assert states['s2'].other_requests == 0
            assert states['s3'].reported_at is None
            harness.set_faults(1, drain=False)
            await _poll(harness, load_table, 2)
            assert not states['s1'].is_leaving
            assert states['s1'].slow_start_at is not None

    run(scenario)
