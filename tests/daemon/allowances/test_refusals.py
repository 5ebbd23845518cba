"""Tests that requests are refused at once when no token will come in time."""

import asyncio
from statistics import median

from tests.daemon.allowances.test_service import RATE, run_fleet
from tools.trial.allowance_fleet import AllowanceFleet

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

FLOOD_S = 4
ROUND_TRIP_MS = 70


async def _send_flood(
    fleet: AllowanceFleet, daemon_name: str
) -> tuple[int, list[float]]:
    """Send five times the rate.

    Returns:
        The number of admitted requests and the delays of refusals,
        milliseconds.
    """
    admitted, delays = 0, []

    async def send_request() -> None:
        nonlocal admitted
        started = fleet.clock()
        try:
            await fleet.services[daemon_name].acquire(
                'vendor', started + 10 * SECOND_NS
            )
        except RequestRefused:
            delays.append((fleet.clock() - started) / MILLISECOND_NS)
        else:
            admitted += 1

    tasks = []
    for _ in range(5 * RATE * FLOOD_S):
        tasks.append(asyncio.create_task(send_request()))
        await asyncio.sleep(1 / (5 * RATE))
    await asyncio.gather(*tasks)
    return admitted, delays


def test_flood_is_refused_at_once_and_loses_no_token() -> None:
    """A late refusal makes callers wait for a token that never comes."""

    async def scenario(fleet: AllowanceFleet) -> None:
        for daemon_name in fleet.names[:4]:
            await asyncio.sleep(5)
            admitted, delays = await _send_flood(fleet, daemon_name)
            assert admitted >= RATE * FLOOD_S
            assert median(delays) <= ROUND_TRIP_MS
            assert max(delays) <= 3 * ROUND_TRIP_MS

    run_fleet(scenario)
