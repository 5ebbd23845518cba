"""Guards the cap and the headroom of shifts while a region is drained."""

import asyncio
import time
from random import Random

import pytest
from tests.process.deployment import (
    BLOCKS,
    CAP_PPM,
    CLIENT_NETWORKS,
    DAEMONS,
    STEP_S,
    key_of,
)
from tests.process.judges import largest_shift
from tests.process.world import TARGET_S, World

from geraniumshelf_standins.caller.client import Caller, Job

pytestmark = pytest.mark.process

# Few slots, so that the traffic of one region does not fit the other.
SLOTS = 4
_CAP = CAP_PPM / 1_000_000
# Clients map to points at random; 250 of them show a share this exactly.
_RESOLUTION = 0.08
_DRAIN_S = 20.0
_OBSERVERS = ('north-a-0', 'south-b-0')
_SERVICE_MS = 100
# Part of the traffic of the service that comes from region north.
_NORTH_PART = 0.5
# Part of the traffic from north that fits into south: of 8 slots, 4 are in
# use and 15% are kept free.
_FITTING = 0.7
# The demand of a source is a mean over periods of 5 s that starts at zero.
_WARM_UP_S = 16.0
# Servers that run close to their slots shed some requests.
_LEAST_SERVED = 0.9


async def _destinations(
    callers: list[Caller], service: str, address: str
) -> dict[str, str]:
    found: dict[str, str] = {}

    async def ask(group: list[Caller]) -> None:
        for caller in group:
            content = await caller.lookup(service, address)
            found[caller.source] = content['entries'][0]['region']

    await asyncio.gather(*(ask(callers[start::5]) for start in range(5)))
    return found


def test_drain_moves_no_more_than_the_cap_and_the_headroom_allow(play) -> None:
    """Guards against shifts beyond the cap and into a full region."""

    async def scenario(world: World) -> None:
        random = Random(5)
        key, (north, south) = key_of('steady'), CLIENT_NETWORKS
        addresses = [world.address(daemon) for daemon in DAEMONS]
        callers = [
            Caller(key, addresses, random, source=f'127.{north}.{block}.9')
            for block in range(BLOCKS)
        ]
        pinned = Caller(key, [], random, source=f'127.{south}.1.9')
        for zone in ('north-a', 'north-b', 'south-a', 'south-b'):
            await world.set_server_faults(
                f'stock-{zone}', service_ms=_SERVICE_MS
            )
        samples: dict[tuple[str, str], list] = {
            (service, daemon): []
            for service in ('sale', 'stock')
            for daemon in _OBSERVERS
        }

        moving: list = []
        staying: list = []

        def reads(daemon: str):
            async def step() -> None:
                name = world.suffix()
                job = Job('stock', path='/prices', deadline_s=3)
                staying.append(
                    await pinned.send(job, world.address(daemon), name)
                )

            return step

        async def look() -> None:
            for (service, daemon), series in samples.items():
                address = world.address(daemon)
                at = time.monotonic()
                series.append(
                    (at, await _destinations(callers, service, address))
                )

        async def follow() -> None:
            job = Job('stock', path='/prices', deadline_s=3)
            moving.append(await random.choice(callers).run(job))

        # About 4 of the 8 slots of each region are in use.
        async with world.load(
            (follow, 0.025),
            (reads('south-a-0'), 0.05),
            (reads('south-b-0'), 0.05),
        ):
            await asyncio.sleep(_WARM_UP_S)
            await look()
            await world.run_operator_command('drain', 'north')
            end = time.monotonic() + _DRAIN_S
            while time.monotonic() < end:
                await look()
        for (service, _), series in samples.items():
            # Without traffic to measure, each source is bounded by the cap.
            north_fraction = _NORTH_PART if service == 'stock' else 1
            for window_s, steps in ((STEP_S - TARGET_S, 1), (STEP_S, 2)):
                worst = north_fraction * largest_shift(series, window_s)
                assert worst <= steps * _CAP + _RESOLUTION
        for daemon in _OBSERVERS:
            _, idle = samples[('sale', daemon)][-1]
            _, loaded = samples[('stock', daemon)][-1]
            assert _share_in_south(idle) > 2 * _CAP
            assert 0 < _share_in_south(loaded) <= _FITTING + _RESOLUTION
        served = sum(one.is_served for one in staying)
        assert served >= _LEAST_SERVED * len(staying)

    play(scenario)


def _share_in_south(found: dict[str, str]) -> float:
    return sum(region == 'south' for region in found.values()) / len(found)
