"""Guards the fleet-wide rate and burst of an account under failure."""

import asyncio
import signal

import pytest
from tests.process.deployment import BURST, DAEMONS, RATE_PER_S
from tests.process.judges import admission_times, rate_excess
from tests.process.world import World

from geraniumshelf_standins.caller.client import Job

pytestmark = pytest.mark.process

# Requests reach a backend server this much later than they were admitted, on
# a busy machine; those admitted over a longer time may arrive together.
_ARRIVAL_SPREAD_S = 0.25
_READ = Job('stock', path='/prices', deadline_s=2)
_SECOND_NS = 1_000_000_000


def test_flood_stays_within_rate_and_burst_while_the_fleet_fails(play) -> None:
    """Guards against tokens created by partitions, pauses and restarts."""

    async def scenario(world: World) -> None:
        def flood(daemon: str):
            prefix = f'{daemon}-'

            async def step() -> None:
                name = f'{prefix}{world.suffix()}'
                await world.send(_READ, daemon, name, 'limited')

            return step

        relays = world.fleet.relays
        async with world.load(*((flood(daemon), 0.03) for daemon in DAEMONS)):
            await asyncio.sleep(3)
            relays.isolate(['south-a-0'])
            await world.fleet.set_platform_faults(cut_off=['south-a-0'])
            await asyncio.sleep(1)
            world.signal('north-b-0', signal.SIGSTOP)
            await asyncio.sleep(1)
            await world.kill('north-a-1')
            await world.restart('north-a-1')
            await asyncio.sleep(5.5)
            world.signal('north-b-0', signal.SIGCONT)
            await asyncio.sleep(2)
            relays.heal()
            await world.fleet.set_platform_faults()
            await asyncio.sleep(1)
            relays.block(['north-a-0'], ['south-b-0'])
            await world.kill('south-b-0')
            await world.restart('south-b-0')
            await asyncio.sleep(3)
            relays.heal()
        await world.wait_all()
        times = admission_times(await world.records('stock'), 'limited')
        elapsed_s = (max(times) - min(times)) / _SECOND_NS
        slack = RATE_PER_S * _ARRIVAL_SPREAD_S
        assert rate_excess(times, RATE_PER_S, BURST) <= slack
        # A fleet that admits next to nothing would pass the bound as well.
        assert len(times) >= RATE_PER_S * elapsed_s / 4

    play(scenario)
