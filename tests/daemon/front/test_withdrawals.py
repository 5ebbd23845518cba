"""Guards the cancellation of running requests with an invalid key."""

import pytest
from tests.daemon.front.harness import (
    configuration,
    front_harness,
    outcomes,
    run,
    wait_until,
)

from geraniumshelf_core.errors import ResultCode


def test_withdrawn_key_ends_waiting_and_streaming_requests() -> None:
    """Guarantee 5: a withdrawn key stops working on open connections."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, service_ms=60_000)
            waiting = await harness.connect()
            waiting.send('GET', '/desk/list')
            await wait_until(lambda: len(harness.records) == 1)
            harness.set_faults(0, service_ms=0)
            streaming = await harness.connect()
            streaming.send('GET', '/desk/list?size=160000000')
            await streaming.reader.readuntil(b'\r\n')
            revision = configuration([harness.servers[0].port])
            harness.apply(
                type(revision)(
                    'test',
                    services=revision.services,
                    zones=revision.zones,
                    servers=revision.servers,
                    accounts=revision.accounts,
                    keys=revision.keys[1:],
                )
            )
            response = await waiting.receive()
            assert response.code == ResultCode.KEY_WITHDRAWN
            assert response.ran == 'unknown'
            with pytest.raises(ConnectionError):
                await streaming.reader.read(-1)
            await wait_until(lambda: outcomes(harness) == ['cancelled'] * 2)
            refused = await harness.request()
            assert refused.code == ResultCode.KEY_UNKNOWN

    run(scenario)


def test_cut_off_zone_ends_running_requests() -> None:
    """Guarantee 5 in a zone that withdrawals cannot reach.

    Requests on open routes have no key and continue.
    """

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, service_ms=60_000)
            waiting = await harness.connect()
            waiting.send('GET', '/desk/list')
            open_route = await harness.connect()
            open_route.send('GET', '/desk/open')
            await wait_until(lambda: len(harness.records) == 2)
            assert harness.front.cancel_cut_off_requests() == 1
            response = await waiting.receive()
            assert (response.code, response.ran) == (
                ResultCode.CUT_OFF,
                'unknown',
            )
            await wait_until(lambda: 'cancelled' in outcomes(harness))
            assert harness.front.running_count == 1
            open_route.close()

    run(scenario)
