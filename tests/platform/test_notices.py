"""Tests of notices that backend servers send in their responses.

The requirements state which requests may reach a server and when, so the tests
count the requests of each server.
"""

import asyncio

import pytest
from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour

_OBJECT_COUNT = 20
# Time in which the slack of the bounds allows several retries.
_RETRY_TOKEN_S = 1.0


async def _fetch_all(harness: EdgeHarness, first: int = 0) -> list[int]:
    """Request many objects, counted from ``first``; return the statuses."""
    caller = await harness.connect()
    responses = [
        await caller.fetch(f'/read/{number}', Cookie=f'X-Affinity-Key={number}')
        for number in range(first, first + _OBJECT_COUNT)
    ]
    return [response.status for response in responses]


def _count_requests(server: ServerStandin) -> int:
    return len(server.received) + server.shed_count


@pytest.mark.parametrize(
    'behaviour', [StoreBehaviour.SOUND, StoreBehaviour.BUSY]
)
def test_server_that_says_it_leaves_gets_nothing_new(
    behaviour: StoreBehaviour,
) -> None:
    """Guard against requests to a server that is about to stop.

    The store may still list it as ready, or be unavailable.
    """

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            await _fetch_all(harness)
            assert all(map(_count_requests, servers.values()))
            harness.store.behaviour = behaviour
            servers['i-1'].is_leaving = True
            await _fetch_all(harness)
            count_before = _count_requests(servers['i-1'])
            assert await _fetch_all(harness) == [200] * _OBJECT_COUNT
            assert _count_requests(servers['i-1']) == count_before

    run_scenario(scenario)


def test_leaving_server_stays_out_when_its_entry_lapses_and_returns() -> None:
    """Guard against new requests to a leaving server.

    The daemon removes its record of a server whose entry expires. The record
    that it makes from the next entry must keep the notice that it leaves.
    """

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].is_leaving = True
            await _fetch_all(harness)
            entry = servers['i-1'].make_entry('desk', 'a1')
            harness.store.remove('servers', 'i-1')
            await asyncio.sleep(0.8)
            harness.store.put('servers', 'i-1', entry)
            await asyncio.sleep(0.8)
            count_before = _count_requests(servers['i-1'])
            await _fetch_all(harness)
            assert _count_requests(servers['i-1']) == count_before

    run_scenario(scenario)


def test_server_that_started_again_is_used_again() -> None:
    """A notice from before the restart of a server is void."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].is_leaving = True
            await _fetch_all(harness)
            servers['i-1'].is_leaving = False
            restarted = servers['i-1'].make_entry('desk', 'a1', born=2)
            harness.store.put('servers', 'i-1', restarted)
            count_before = _count_requests(servers['i-1'])

            async def is_server_used() -> bool:
                await _fetch_all(harness)
                return _count_requests(servers['i-1']) > count_before

            await harness.wait_until(is_server_used)

    run_scenario(scenario)


def test_server_that_asks_for_a_pause_gets_none_until_its_end() -> None:
    """The server would reject each request before the end of the pause."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            await asyncio.sleep(_RETRY_TOKEN_S)
            servers['i-1'].is_full = True
            servers['i-1'].retry_after = '1.5'
            assert await _fetch_all(harness) == [200] * _OBJECT_COUNT
            assert _count_requests(servers['i-1']) == 1
            await asyncio.sleep(0.6)
            # Objects that have not been requested from the other server yet.
            statuses = await _fetch_all(harness, first=_OBJECT_COUNT)
            assert statuses == [200] * _OBJECT_COUNT
            assert _count_requests(servers['i-1']) == 1
            servers['i-1'].is_full = False

            async def is_server_used() -> bool:
                await _fetch_all(harness)
                return _count_requests(servers['i-1']) > 1

            await harness.wait_until(is_server_used)

    run_scenario(scenario)


def test_service_whose_servers_all_ask_for_a_pause_is_refused_at_once() -> None:
    """Guard against requests that wait or are retried without any chance.

    All servers reject them until the first pause ends, so the daemon must tell
    the caller at once when that is.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', is_full=True, retry_after='5')}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            await caller.fetch('/read/x')
            response = await caller.fetch('/read/y')
            assert response.status == 503
            assert 4 <= float(response.headers['retry-after']) <= 6
            assert servers['i-1'].shed_count == 1

    run_scenario(scenario)


@pytest.mark.parametrize('retry_after', ['0', '-3', 'soon', 'nan', ''])
def test_pause_that_asks_for_no_time_is_ignored(retry_after: str) -> None:
    """An invalid header must neither be an error nor stop use of a server."""

    async def scenario() -> None:
        servers = {
            'i-1': ServerStandin('i-1', is_full=True, retry_after=retry_after)
        }
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/x')).status == 503
            servers['i-1'].is_full = False
            assert (await caller.fetch('/read/x')).status == 200

    run_scenario(scenario)
