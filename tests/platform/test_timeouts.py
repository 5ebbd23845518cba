"""Tests of request timeouts, abandoned requests and load shedding."""

import asyncio

from tests.platform.harness import (
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin


def test_silent_server_is_given_up_at_the_timeout_of_the_route() -> None:
    """A caller must not wait longer than the timeout that operators set."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=5)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            started_at = asyncio.get_running_loop().time()
            response = await caller.fetch(
                '/sale/x', method='POST', X_Deadline_Ms='9000'
            )
            assert response.status == 504
            assert 1.9 < asyncio.get_running_loop().time() - started_at < 2.4

    run_scenario(scenario)


def test_silent_server_is_kept_when_no_other_is_free() -> None:
    """A request that is given up without another free server is lost."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', work_s=1.2)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/x')).status == 200

    run_scenario(scenario)


def test_work_of_a_caller_that_left_is_cancelled() -> None:
    """Slots would be used for responses that no caller reads."""

    async def scenario() -> None:
        server = ServerStandin('i-1', work_s=0.5)
        async with running_harness(
            {'i-1': server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            caller.send('/read/1')
            caller.send('/read/2')
            while len(server.received) < 2:
                await asyncio.sleep(0.01)
            caller.close()
            while server.aborted_count < 2:
                await asyncio.sleep(0.01)

    run_scenario(scenario)


def test_rejection_tells_the_log_what_decided_it_and_not_the_caller() -> None:
    """Names of servers must not be disclosed to callers."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', slots=1, work_s=0.5)}
        async with running_harness(servers, make_configuration()) as harness:
            callers = [await harness.connect() for _ in range(8)]
            for number, caller in enumerate(callers):
                caller.send(f'/open/{number}')
            responses = [await caller.receive() for caller in callers]
            rejected = [
                response for response in responses if response.status == 503
            ]
            assert rejected
            assert all(b'i-1' not in response.body for response in rejected)
            assert all(
                float(response.headers['retry-after']) for response in rejected
            )

    run_scenario(scenario)
