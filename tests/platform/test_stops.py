"""Tests of requests that come late in the grace period of a planned stop."""

import asyncio

import pytest
from tests.platform.harness import (
    CallerResponse,
    CallerStandin,
    EdgeHarness,
    make_configuration,
    make_path,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin

# The grace period of the harness is 4 s; callers may connect for 2.5 s of it.
_LATE_S = 2.0
_LONG_WORK_S = 2.2
_SHORT_WORK_S = 0.1
_HEADERS = {'X-Deadline-Ms': '8000'}
_CONFIGURATION = make_configuration(
    hosts=[
        {
            'host': 'shop.example',
            'paths': [
                make_path('/read/', timeout_s=8),
                make_path('/sale/', 'unsafe', timeout_s=8),
                make_path('/photo/', 'upload', timeout_s=8),
            ],
        }
    ]
)


async def _meet_work(harness: EdgeHarness) -> None:
    """Let the daemon learn how long the server works."""
    callers = [await harness.connect() for _ in range(8)]
    await asyncio.gather(
        *(
            caller.fetch(f'/read/{number}', **_HEADERS)
            for number, caller in enumerate(callers)
        )
    )


async def _receive(caller: CallerStandin) -> CallerResponse | None:
    """Return the response, ``None`` if the connection ends without one."""
    try:
        return await caller.receive()
    except asyncio.IncompleteReadError:
        return None


@pytest.mark.parametrize('prefix', ['/read/', '/sale/'])
@pytest.mark.parametrize('work_s', [_SHORT_WORK_S, _LONG_WORK_S])
def test_late_request_is_answered_or_not_run(
    prefix: str, work_s: float
) -> None:
    """Guard against a request that runs and is cut at the end of the grace.

    A caller cannot repeat it elsewhere if it must not run twice.
    """

    async def scenario() -> None:
        server = ServerStandin('i-1', slots=40, work_s=work_s)
        async with running_harness({'i-1': server}, _CONFIGURATION) as harness:
            await _meet_work(harness)
            caller = await harness.connect()
            stopping = asyncio.create_task(harness.daemon.stop())
            await asyncio.sleep(_LATE_S)
            caller.send(f'{prefix}late', **_HEADERS)
            response = await _receive(caller)
            await stopping
            targets = [request.target for request in server.received]
            assert response is not None
            if work_s == _SHORT_WORK_S:
                assert response.status == 200
            else:
                assert response.status == 503
                assert f'{prefix}late' not in targets

    run_scenario(scenario)


@pytest.mark.parametrize('size', [200, 800_000])
def test_request_whose_body_ends_late_is_answered_or_not_run(
    size: int,
) -> None:
    """Guard against a request that begins to run once its body is complete.

    Whether the work fits in the rest of the grace period is not known before.
    """

    async def scenario() -> None:
        server = ServerStandin('i-1', slots=40, work_s=_LONG_WORK_S / 2)
        async with running_harness({'i-1': server}, _CONFIGURATION) as harness:
            await _meet_work(harness)
            caller = await harness.connect()
            stopping = asyncio.create_task(harness.daemon.stop())
            await asyncio.sleep(_LATE_S / 2)
            body = b'x' * size
            caller.send(
                '/photo/late',
                'POST',
                body[:100],
                **_HEADERS,
                Content_Length=str(size),
            )
            receiving = asyncio.create_task(_receive(caller))
            await asyncio.sleep(_LATE_S)
            caller.writer.write(body[100:])
            response = await receiving
            await stopping
            assert response is not None
            assert response.status == 503
            assert '/photo/late' not in [
                request.target for request in server.received
            ]

    run_scenario(scenario)


def test_body_that_ends_early_in_a_stop_is_served() -> None:
    """Requests that fit in the grace period must not be refused."""

    async def scenario() -> None:
        server = ServerStandin('i-1', slots=40, work_s=_SHORT_WORK_S)
        async with running_harness({'i-1': server}, _CONFIGURATION) as harness:
            await _meet_work(harness)
            caller = await harness.connect()
            stopping = asyncio.create_task(harness.daemon.stop())
            await asyncio.sleep(0.5)
            caller.send(
                '/photo/x', 'POST', b'half', **_HEADERS, Content_Length='8'
            )
            await asyncio.sleep(0.3)
            caller.writer.write(b'half')
            response = await _receive(caller)
            await stopping
            assert response is not None
            assert response.status == 200
            assert server.received[-1].body == b'halfhalf'

    run_scenario(scenario)
