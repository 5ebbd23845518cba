"""Tests of the demand of callers and of the spills that operators see."""

import json

from tests.platform.harness import (
    connect_to,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin


def test_requests_that_need_a_server_are_counted() -> None:
    """Guard against demand of requests that never take a slot, and none."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            meters = harness.daemon._state.placement.demand.meters
            caller = await harness.connect()
            assert (await caller.fetch('/none/x')).status == 404
            refused = await caller.fetch('/read/x', X_Api_Key='wrong')
            assert refused.status == 401
            assert not meters
            assert (await caller.fetch('/read/x')).status == 200
            assert set(meters) == {'desk'}
            page = await connect_to(harness.settings.metrics_address)
            status = json.loads((await page.fetch('/status')).body)
            page.close()
            assert status['spills']['desk'] == {
                'fraction': 0,
                'planned': 0,
                'cause': 'slots',
            }

    run_scenario(scenario)
