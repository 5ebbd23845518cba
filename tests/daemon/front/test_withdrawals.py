"""Guards the end of running requests whose key is no longer good."""

import pytest
from tests.daemon.front.harness import (
    configuration,
    front_harness,
    outcomes,
    run,
    until,
)

from geraniumshelf_core.errors import ResultCode


def test_withdrawn_key_ends_waiting_and_streaming_requests() -> None:
    """Guarantee 5, for callers that are already connected."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, service_ms=60_000)
            waiting = await w.connect()
            waiting.send('GET', '/desk/list')
            await until(lambda: len(w.records) == 1)
            w.set_faults(0, service_ms=0)
            streaming = await w.connect()
            streaming.send('GET', '/desk/list?size=160000000')
            await streaming.reader.readuntil(b'\r\n')
            revision = configuration([w.servers[0].port])
            w.apply(
                type(revision)(
                    'test',
                    services=revision.services,
                    zones=revision.zones,
                    servers=revision.servers,
                    accounts=revision.accounts,
                    keys=revision.keys[1:],
                )
            )
            answer = await waiting.receive()
            assert answer.code == ResultCode.KEY_WITHDRAWN
            assert answer.ran == 'unknown'
            with pytest.raises(ConnectionError):
                await streaming.reader.read(-1)
            await until(lambda: outcomes(w) == ['cancelled'] * 2)
            refused = await w.ask()
            assert refused.code == ResultCode.KEY_UNKNOWN

    run(scenario)


def test_cut_off_zone_ends_running_requests() -> None:
    """Guarantee 5 where no withdrawal can arrive, for running requests."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, service_ms=60_000)
            waiting = await w.connect()
            waiting.send('GET', '/desk/list')
            open_route = await w.connect()
            open_route.send('GET', '/desk/open')
            await until(lambda: len(w.records) == 2)
            assert w.front.cancel_cut_off_requests() == 1
            answer = await waiting.receive()
            assert (answer.code, answer.ran) == (ResultCode.CUT_OFF, 'unknown')
            await until(lambda: 'cancelled' in outcomes(w))
            assert w.front.running_count == 1
            open_route.close()

    run(scenario)
