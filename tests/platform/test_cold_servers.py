"""Tests the rate of requests to servers while the store does not respond."""

import asyncio

from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour

_REQUEST_COUNT = 60
# With a configured rate of 0 only the slack of the bounds is left.
_COLD_LIMIT = 5
_SERVICE = {
    'name': 'desk',
    'health_path': '/health',
    'max_conns': 300,
    'cold_start_s': 1.0,
    'cold_per_s': 0,
}


async def _lose_store(harness: EdgeHarness) -> None:
    """Stop the store and wait until the daemon's list is too old."""
    harness.store.behaviour = StoreBehaviour.SILENT

    async def is_unconfirmed() -> bool:
        metrics = await harness.read_metrics()
        return 'backends_unconfirmed' in metrics

    await harness.wait_until(is_unconfirmed)


async def _fetch_all(harness: EdgeHarness) -> list[int]:
    caller = await harness.connect()
    return [
        (
            await caller.fetch(f'/read/{number}', X_Request_Id=f'id{number}')
        ).status
        for number in range(_REQUEST_COUNT)
    ]


def test_server_that_became_cold_during_an_outage_is_not_flooded() -> None:
    """Guard against a flood when only the server knows that it is cold."""

    async def scenario() -> None:
        server = ServerStandin('i-1', cold_ms=60_000)
        configuration = make_configuration(services=[_SERVICE])
        async with running_harness({'i-1': server}, configuration) as harness:
            await _lose_store(harness)
            started_at = asyncio.get_running_loop().time()
            await _fetch_all(harness)
            elapsed_s = asyncio.get_running_loop().time() - started_at
            assert len(server.received) <= _COLD_LIMIT * (elapsed_s + 1)

    run_scenario(scenario)


def test_health_checks_keep_the_full_rate_during_an_outage() -> None:
    """Guard against refusals although the server itself says it is not cold."""

    async def scenario() -> None:
        server = ServerStandin('i-1')
        configuration = make_configuration(services=[_SERVICE])
        async with running_harness({'i-1': server}, configuration) as harness:
            await _lose_store(harness)

            async def is_served_fully() -> bool:
                return await _fetch_all(harness) == [200] * _REQUEST_COUNT

            await harness.wait_until(is_served_fully)

    run_scenario(scenario)
