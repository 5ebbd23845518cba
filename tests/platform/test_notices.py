"""Guards what backend servers say of themselves in their answers.

The stand-ins judge as the operators word it: what reaches a server, and when.
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

_OBJECTS = 20


async def _ask_all(harness: EdgeHarness, first: int = 0) -> list[int]:
    """Ask for many objects from a number on; return the statuses."""
    caller = await harness.connect()
    answers = [
        await caller.fetch(f'/read/{number}', Cookie=f'X-Affinity-Key={number}')
        for number in range(first, first + _OBJECTS)
    ]
    return [answer.status for answer in answers]


def _received(server: ServerStandin) -> int:
    return len(server.received) + server.shed_count


@pytest.mark.parametrize(
    'behaviour', [StoreBehaviour.SOUND, StoreBehaviour.BUSY]
)
def test_server_that_says_it_leaves_gets_nothing_new(
    behaviour: StoreBehaviour,
) -> None:
    """The store may list it as ready, or be away, while it leaves."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            await _ask_all(harness)
            assert all(map(_received, servers.values()))
            harness.store.behaviour = behaviour
            servers['i-1'].is_leaving = True
            await _ask_all(harness)
            seen = _received(servers['i-1'])
            assert await _ask_all(harness) == [200] * _OBJECTS
            assert _received(servers['i-1']) == seen

    run_scenario(scenario)


def test_leaving_server_stays_out_when_its_entry_lapses_and_returns() -> None:
    """A view that is made anew must not forget what the server said."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].is_leaving = True
            await _ask_all(harness)
            entry = servers['i-1'].make_entry('desk', 'a1')
            harness.store.remove('servers', 'i-1')
            await asyncio.sleep(0.8)
            harness.store.put('servers', 'i-1', entry)
            await asyncio.sleep(0.8)
            seen = _received(servers['i-1'])
            await _ask_all(harness)
            assert _received(servers['i-1']) == seen

    run_scenario(scenario)


def test_server_that_started_again_is_used_again() -> None:
    """What it said before its restart holds no more."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].is_leaving = True
            await _ask_all(harness)
            servers['i-1'].is_leaving = False
            again = servers['i-1'].make_entry('desk', 'a1', born=2)
            harness.store.put('servers', 'i-1', again)
            seen = _received(servers['i-1'])

            async def is_used() -> bool:
                await _ask_all(harness)
                return _received(servers['i-1']) > seen

            await harness.wait_until(is_used)

    run_scenario(scenario)


def test_server_that_asks_for_a_pause_gets_none_until_its_end() -> None:
    """Each further request would only be turned away again."""

    async def scenario() -> None:
        servers = {name: ServerStandin(name) for name in ('i-1', 'i-2')}
        async with running_harness(servers, make_configuration()) as harness:
            servers['i-1'].is_full = True
            servers['i-1'].retry_after = '1.5'
            assert await _ask_all(harness) == [200] * _OBJECTS
            assert _received(servers['i-1']) == 1
            await asyncio.sleep(0.6)
            # Objects that the other server has not had yet.
            again = await _ask_all(harness, first=_OBJECTS)
            assert again == [200] * _OBJECTS
            assert _received(servers['i-1']) == 1
            servers['i-1'].is_full = False

            async def is_used() -> bool:
                await _ask_all(harness)
                return _received(servers['i-1']) > 1

            await harness.wait_until(is_used)

    run_scenario(scenario)


def test_service_whose_servers_all_ask_for_a_pause_is_refused_at_once() -> None:
    """A caller that waits or comes back before the end gains nothing."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', is_full=True, retry_after='5')}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            await caller.fetch('/read/x')
            answer = await caller.fetch('/read/y')
            assert answer.status == 503
            assert 4 <= float(answer.headers['retry-after']) <= 6
            assert servers['i-1'].shed_count == 1

    run_scenario(scenario)


@pytest.mark.parametrize('pause', ['0', '-3', 'soon', 'nan', ''])
def test_pause_that_asks_for_no_time_is_ignored(pause: str) -> None:
    """An odd header must neither be an error nor take a server out."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1', is_full=True, retry_after=pause)}
        async with running_harness(servers, make_configuration()) as harness:
            caller = await harness.connect()
            assert (await caller.fetch('/read/x')).status == 503
            servers['i-1'].is_full = False
            assert (await caller.fetch('/read/x')).status == 200

    run_scenario(scenario)
