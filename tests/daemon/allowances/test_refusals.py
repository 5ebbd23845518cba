"""Guards that requests without a token in sight are refused at once."""

import asyncio
from statistics import median

from tests.daemon.allowances.test_service import RATE, run_fleet
from tools.trial.allowance_fleet import Fleet

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

FLOOD_S = 4
ROUND_TRIP_MS = 70


async def _flood(fleet: Fleet, name: str) -> tuple[int, list[float]]:
    """Send five times the rate; return admissions and refusal delays, ms."""
    admitted, delays = 0, []

    async def one() -> None:
        nonlocal admitted
        started = fleet.clock()
        try:
            await fleet.services[name].acquire(
                'vendor', started + 10 * SECOND_NS
            )
        except RequestRefused:
            delays.append((fleet.clock() - started) / MILLISECOND_NS)
        else:
            admitted += 1

    tasks = []
    for _ in range(5 * RATE * FLOOD_S):
        tasks.append(asyncio.create_task(one()))
        await asyncio.sleep(1 / (5 * RATE))
    await asyncio.gather(*tasks)
    return admitted, delays


def test_flood_is_refused_at_once_and_loses_no_token() -> None:
    """A refusal that is held back keeps callers waiting for nothing."""

    async def scenario(fleet: Fleet) -> None:
        for name in fleet.names[:4]:
            await asyncio.sleep(5)
            admitted, delays = await _flood(fleet, name)
            assert admitted >= RATE * FLOOD_S
            assert median(delays) <= ROUND_TRIP_MS
            assert max(delays) <= 3 * ROUND_TRIP_MS

    run_fleet(scenario)
