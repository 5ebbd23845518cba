"""Tests of servers that answer an upload early and read on."""

import asyncio
from collections.abc import Callable

import pytest
from tests.platform.faulty_servers import EarlyServer
from tests.platform.harness import (
    CallerStandin,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.zone_harness import Zone, run_in_zone

_PIECE = bytes(range(256)) * 20
_PIECES = 10
_WHOLE = _PIECES * len(_PIECE)
_GAP_S = 0.05


async def _send(
    caller: CallerStandin, pieces: int, deadline_ms: int = 2000
) -> None:
    """Send a part of a chunked upload, or all of it with its end."""
    caller.send(
        '/photo/1',
        'POST',
        X_Deadline_Ms=str(deadline_ms),
        Transfer_Encoding='chunked',
    )
    for _ in range(pieces):
        caller.writer.write(b'%x\r\n' % len(_PIECE) + _PIECE + b'\r\n')
        await asyncio.sleep(_GAP_S)
    if pieces == _PIECES:
        caller.writer.write(b'0\r\n\r\n')


async def _wait_until(is_met: Callable[[], bool]) -> None:
    while not is_met():
        await asyncio.sleep(0.02)


@pytest.mark.parametrize('status', [200, 500])
def test_early_answer_leaves_an_upload_whole(status: int) -> None:
    """Guard against photos that are cut although the caller sent them whole.

    After a 200, the caller believes that its upload is stored.
    """

    async def scenario() -> None:
        server = EarlyServer('i-1', status=status)
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            await _send(caller, _PIECES)
            response = await caller.receive()
            assert response.status == status
            assert response.body == b'early'
            assert response.headers['connection'] == 'close'
            [body] = server.bodies
            await _wait_until(lambda: body.is_over)
            assert body.has_end
            assert body.size == _WHOLE

    run_scenario(scenario)


def test_early_answer_reaches_the_caller_before_its_upload_ends() -> None:
    """Guard against refusals that a caller gets after a useless upload."""

    async def scenario() -> None:
        server = EarlyServer('i-1', status=500)
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            await _send(caller, 2, deadline_ms=1000)
            started_at = asyncio.get_running_loop().time()
            assert (await caller.receive()).status == 500
            assert asyncio.get_running_loop().time() - started_at < 0.8

    run_scenario(scenario)


@pytest.mark.parametrize('is_closing', [False, True])
def test_upload_that_stops_after_an_early_answer_stays_cut(
    is_closing: bool,
) -> None:
    """Guard against a cut photo that its server takes for a whole one."""

    async def scenario() -> None:
        server = EarlyServer('i-1')
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            await _send(caller, 3, deadline_ms=1000)
            assert (await caller.receive()).status == 200
            if is_closing:
                caller.close()
            [body] = server.bodies
            await _wait_until(lambda: body.is_over)
            assert not body.has_end

    run_scenario(scenario)


def test_forwarded_upload_stays_whole_after_an_early_answer() -> None:
    """Guard against photos that one of two daemons cuts."""
    server = EarlyServer('i-1')

    async def scenario(zone: Zone) -> None:
        caller = await zone.connect()
        await _send(caller, _PIECES)
        assert (await caller.receive()).status == 200
        [body] = server.bodies
        await _wait_until(lambda: body.is_over)
        assert body.size == _WHOLE
        assert body.has_end

    run_in_zone(scenario, server)
