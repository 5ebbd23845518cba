"""Tests of the shift cap and the headroom while a region is drained."""

import asyncio
import time
from random import Random

import pytest
from tests.process.checkers import max_shift
from tests.process.deployment import (
    CLIENT_BLOCKS,
    CLIENT_NETWORKS,
    DAEMONS,
    SHIFT_CAP_PPM,
    SHIFT_STEP_S,
    build_key,
)
from tests.process.harness import PROPAGATION_TARGET_S, FleetHarness

from geraniumshelf_standins.caller.client import Caller, Job

pytestmark = pytest.mark.process

# Few slots, so that the traffic of one region does not fit the other.
SLOTS = 4
_CAP_FRACTION = SHIFT_CAP_PPM / 1_000_000
# Sampling error of a fraction measured with 250 clients, which map to random
# points.
_SAMPLING_ERROR = 0.08
_DRAIN_OBSERVATION_S = 20.0
_OBSERVERS = ('north-a-0', 'south-b-0')
_SERVICE_MS = 100
# Fraction of the traffic of the service that comes from region north.
_NORTH_FRACTION = 0.5
# Fraction of the traffic from north that fits into south: of 8 slots, 4 are in
# use and 15% are kept free.
_FITTING_FRACTION = 0.7
# Demand is measured as a mean over periods of 5 s that starts at zero, so it
# needs several periods to reach the actual value.
_WARM_UP_S = 16.0
# Servers with almost all slots in use shed some requests.
_MIN_SERVED_FRACTION = 0.9


async def _look_up_destinations(
    callers: list[Caller], service: str, address: str
) -> dict[str, str]:
    destinations: dict[str, str] = {}

    async def look_up_group(group: list[Caller]) -> None:
        for caller in group:
            content = await caller.lookup(service, address)
            destinations[caller.source] = content['entries'][0]['region']

    await asyncio.gather(
        *(look_up_group(callers[start::5]) for start in range(5))
    )
    return destinations


def test_drain_moves_no_more_than_the_cap_and_the_headroom_allow(
    run_scenario,
) -> None:
    """A drain must not shift more than the cap or more than fits.

    A larger shift would overload the backend servers of the other region.
    """

    async def scenario(harness: FleetHarness) -> None:
        random = Random(5)
        key, (north, south) = build_key('steady'), CLIENT_NETWORKS
        addresses = [harness.caller_address(daemon) for daemon in DAEMONS]
        callers = [
            Caller(key, addresses, random, source=f'127.{north}.{block}.9')
            for block in range(CLIENT_BLOCKS)
        ]
        south_caller = Caller(key, [], random, source=f'127.{south}.1.9')
        for zone in ('north-a', 'north-b', 'south-a', 'south-b'):
            await harness.set_server_faults(
                f'stock-{zone}', service_ms=_SERVICE_MS
            )
        samples: dict[tuple[str, str], list] = {
            (service, daemon): []
            for service in ('sale', 'stock')
            for daemon in _OBSERVERS
        }

        north_outcomes: list = []
        south_outcomes: list = []

        def read_from_south(daemon: str):
            async def step() -> None:
                request_id = harness.create_id_suffix()
                job = Job('stock', path='/prices', deadline_s=3)
                south_outcomes.append(
                    await south_caller.send(
                        job, harness.caller_address(daemon), request_id
                    )
                )

            return step

        async def sample_destinations() -> None:
            for (service, daemon), series in samples.items():
                address = harness.caller_address(daemon)
                sampled_at = time.monotonic()
                series.append(
                    (
                        sampled_at,
                        await _look_up_destinations(callers, service, address),
                    )
                )

        async def send_from_north() -> None:
            job = Job('stock', path='/prices', deadline_s=3)
            north_outcomes.append(await random.choice(callers).run(job))

        # About 4 of the 8 slots of each region are in use.
        async with harness.background_load(
            (send_from_north, 0.025),
            (read_from_south('south-a-0'), 0.05),
            (read_from_south('south-b-0'), 0.05),
        ):
            await asyncio.sleep(_WARM_UP_S)
            await sample_destinations()
            await harness.run_operator_command('drain', 'north')
            end = time.monotonic() + _DRAIN_OBSERVATION_S
            while time.monotonic() < end:
                await sample_destinations()
        for (service, _), series in samples.items():
            # Without traffic to measure, each source is bounded by the cap.
            north_fraction = _NORTH_FRACTION if service == 'stock' else 1
            for window_s, steps in (
                (SHIFT_STEP_S - PROPAGATION_TARGET_S, 1),
                (SHIFT_STEP_S, 2),
            ):
                max_moved = north_fraction * max_shift(series, window_s)
                assert max_moved <= steps * _CAP_FRACTION + _SAMPLING_ERROR
        for daemon in _OBSERVERS:
            _, idle = samples[('sale', daemon)][-1]
            _, loaded = samples[('stock', daemon)][-1]
            assert _fraction_in_south(idle) > 2 * _CAP_FRACTION
            assert (
                0
                < _fraction_in_south(loaded)
                <= _FITTING_FRACTION + _SAMPLING_ERROR
            )
        served = sum(outcome.is_served for outcome in south_outcomes)
        assert served >= _MIN_SERVED_FRACTION * len(south_outcomes)

    run_scenario(scenario)


def _fraction_in_south(destinations: dict[str, str]) -> float:
    return sum(region == 'south' for region in destinations.values()) / len(
        destinations
    )
