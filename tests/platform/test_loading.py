"""Tests of requests that arrive before the daemon has a configuration."""

import asyncio

from tests.platform.harness import (
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour


def test_request_that_comes_while_the_daemon_loads_is_served() -> None:
    """After a power loss, callers return before the daemon has loaded."""

    async def scenario() -> None:
        async with running_harness({'i-1': ServerStandin('i-1')}) as harness:
            caller = await harness.connect()
            caller.send('/open/1')
            await asyncio.sleep(0.1)
            harness.store.put('config', 'main', make_configuration())
            assert (await caller.receive()).status == 200

    run_scenario(scenario)


def test_request_is_refused_at_once_while_the_store_does_not_answer() -> None:
    """The daemon can't tell when it will have loaded, so waiting is useless."""

    async def scenario() -> None:
        async with running_harness({'i-1': ServerStandin('i-1')}) as harness:
            harness.store.behaviour = StoreBehaviour.BUSY

            async def is_disconnected() -> bool:
                return harness.daemon._store_follower.is_disconnected

            await harness.wait_until(is_disconnected)
            caller = await harness.connect()
            started_at = asyncio.get_running_loop().time()
            assert (await caller.fetch('/open/1')).status == 503
            assert asyncio.get_running_loop().time() - started_at < 0.3

    run_scenario(scenario)
