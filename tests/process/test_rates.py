"""Tests of the fleet-wide rate and burst of an account during failures."""

import asyncio
import signal

import pytest
from tests.process.checkers import admission_times, max_rate_excess
from tests.process.deployment import BURST, DAEMONS, RATE_PER_S
from tests.process.harness import FleetHarness

from geraniumshelf_standins.caller.client import Job

pytestmark = pytest.mark.process

# Largest time from admission to the arrival at a backend server on a loaded
# machine. Requests admitted over this time may arrive at once.
_ARRIVAL_SPREAD_S = 0.25
_READ = Job('stock', path='/prices', deadline_s=2)
_SECOND_NS = 1_000_000_000


def test_flood_stays_within_rate_and_burst_while_the_fleet_fails(
    run_scenario,
) -> None:
    """Partitions, paused processes and restarts must not create tokens.

    A daemon that returns could spend tokens that others were given meanwhile.
    """

    async def scenario(harness: FleetHarness) -> None:
        def flood(daemon: str):
            prefix = f'{daemon}-'

            async def step() -> None:
                request_id = f'{prefix}{harness.create_id_suffix()}'
                await harness.send(_READ, daemon, request_id, 'limited')

            return step

        relays = harness.fleet.relays
        async with harness.background_load(
            *((flood(daemon), 0.03) for daemon in DAEMONS)
        ):
            await asyncio.sleep(3)
            relays.isolate(['south-a-0'])
            await harness.fleet.set_platform_faults(cut_off=['south-a-0'])
            await asyncio.sleep(1)
            harness.send_signal('north-b-0', signal.SIGSTOP)
            await asyncio.sleep(1)
            await harness.kill('north-a-1')
            await harness.restart('north-a-1')
            await asyncio.sleep(5.5)
            harness.send_signal('north-b-0', signal.SIGCONT)
            await asyncio.sleep(2)
            relays.heal()
            await harness.fleet.set_platform_faults()
            await asyncio.sleep(1)
            relays.block(['north-a-0'], ['south-b-0'])
            await harness.kill('south-b-0')
            await harness.restart('south-b-0')
            await asyncio.sleep(3)
            relays.heal()
        await harness.wait_until_linked()
        times = admission_times(await harness.fetch_records('stock'), 'limited')
        elapsed_s = (max(times) - min(times)) / _SECOND_NS
        slack = RATE_PER_S * _ARRIVAL_SPREAD_S
        assert max_rate_excess(times, RATE_PER_S, BURST) <= slack
        # A fleet that admits almost nothing would keep within the bound too.
        assert len(times) >= RATE_PER_S * elapsed_s / 4

    run_scenario(scenario)
