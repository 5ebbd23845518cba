"""Tests of readings of servers that running daemons exchange."""

import asyncio

from tests.platform.harness import TIMEOUT_S, connect_to, run_scenario
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
