"""Tests of readings of servers that running daemons exchange."""

import asyncio

from tests.platform.harness import (
    HOST,
    TIMEOUT_S,
    connect_to,
    make_configuration,
    make_path,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.test_fleet import Fleet, running_fleet


async def _read_metrics(fleet: Fleet) -> str:
    """Return the metrics of all daemons of the process."""
    *_, settings = fleet.settings.values()
    caller = await connect_to(settings.metrics_address)
    try:
        return (await caller.fetch('/metrics')).body.decode()
    finally:
        caller.close()


def test_entries_tell_each_other_what_servers_report() -> None:
    """Guard against readings that never leave the daemon that got them."""

    async def scenario() -> None:
        async with running_fleet() as fleet:
            fleet.server.speed = '250'
            async with asyncio.timeout(TIMEOUT_S):
                name = 'geraniumshelf_readings_received_total'
                while name not in await _read_metrics(fleet):
                    for entry in ('l1', 'l2'):
                        await fleet.fetch(entry, '/read/1')
                    await asyncio.sleep(0.2)

    run_scenario(scenario)


def test_slow_phase_does_not_count_as_cold_work() -> None:
    """Guard against estimates that rise because a server is slow for a moment.

    Warm work is expected to take 0.4 s. It takes twice that, as the server
    reports, which is otherwise as long as for a cold object.
    """

    async def scenario() -> None:
        server = ServerStandin('i-1', work_s=0.8, speed='200')
        path = make_path('/read/', target_latency_s=1)
        hosts = [{'host': HOST, 'paths': [path]}]
        async with running_harness(
            {'i-1': server}, make_configuration(hosts=hosts)
        ) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/1')).status == 200
            metrics = await harness.read_metrics()
            assert 'geraniumshelf_runs_warm_total 1' in metrics

    run_scenario(scenario)
