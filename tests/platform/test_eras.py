"""Guards a store that comes back from an older copy."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.platform.harness import (
    EdgeHarness,
    make_configuration,
    make_path,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import StoreBehaviour, StoreSnapshot

_ENTRIES = 'geraniumshelf-instances'


async def _status(harness: EdgeHarness, target: str, key: str = 'key') -> int:
    caller = await harness.connect()
    return (await caller.fetch(target, X_Api_Key=key)).status


async def _come_back(harness: EdgeHarness, copy: StoreSnapshot) -> None:
    """Let the store be away for a moment and come back from a copy."""
    harness.store.behaviour = StoreBehaviour.BUSY
    await asyncio.sleep(0.3)
    harness.store.restore(copy)
    harness.store.behaviour = StoreBehaviour.SOUND


async def _holds(check: Callable[[], Awaitable[bool]], time_s: float) -> bool:
    """Return whether a condition holds all the time."""
    end = asyncio.get_running_loop().time() + time_s
    while asyncio.get_running_loop().time() < end:
        if not await check():
            return False
        await asyncio.sleep(0.1)
    return True


def _tenants(*keys: str) -> list[dict[str, object]]:
    return [
        {
            'name': 'shop',
            'api_keys': list(keys),
            'rate_per_s': 0,
            'burst': 0,
            'allowed_regions': [],
        }
    ]


def test_withdrawn_key_stays_withdrawn() -> None:
    """The copy holds a configuration in which the key is valid."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        first = make_configuration(1, tenants=_tenants('key', 'old'))
        async with running_harness(servers, first) as harness:
            copy = harness.store.take_snapshot()
            second = make_configuration(2, tenants=_tenants('key'))
            harness.store.put('config', 'main', second)

            async def is_withdrawn() -> bool:
                return await _status(harness, '/read/x', 'old') == 401

            await harness.wait_until(is_withdrawn)
            await _come_back(harness, copy)
            assert await _holds(is_withdrawn, 2)
            assert await _status(harness, '/read/x') == 200
            harness.store.put('config', 'main', second)
            third = make_configuration(3, tenants=_tenants('key', 'new'))
            harness.store.put('config', 'main', third)

            async def is_new() -> bool:
                return await _status(harness, '/read/x', 'new') == 200

            await harness.wait_until(is_new)
            assert await is_withdrawn()

    run_scenario(scenario)


def test_changes_after_the_return_are_seen_though_revisions_repeat() -> None:
    """A watch from an old revision would wait for a number long passed."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration(1)) as harness:
            copy = harness.store.take_snapshot()
            for _ in range(20):
                entry = servers['i-1'].make_entry('desk', 'a1')
                harness.store.put('servers', 'i-1', entry)
            await asyncio.sleep(0.8)
            await _come_back(harness, copy)
            routes = {'host': 'shop.example', 'paths': [make_path('/new/')]}
            harness.store.put(
                'config', 'main', make_configuration(2, hosts=[routes])
            )

            async def is_new() -> bool:
                return await _status(harness, '/new/x') == 200

            await harness.wait_until(is_new)

    run_scenario(scenario)


def test_server_that_left_or_drains_is_not_used_again() -> None:
    """The copy lists it as ready, as it was some seconds before."""

    async def scenario() -> None:
        names = ('i-1', 'i-2', 'i-3')
        servers = {name: ServerStandin(name) for name in names}
        async with running_harness(servers, make_configuration()) as harness:
            copy = harness.store.take_snapshot()
            draining = servers['i-1'].make_entry(
                'desk', 'a1', state='draining', sequence=9
            )
            harness.store.put('servers', 'i-1', draining)
            harness.store.remove('servers', 'i-2')
            await asyncio.sleep(0.8)
            await _come_back(harness, copy)
            for name in ('i-1', 'i-2'):
                servers[name].received.clear()

            async def uses_the_third() -> bool:
                for number in range(10):
                    assert await _status(harness, f'/read/{number}') == 200
                others = (servers['i-1'], servers['i-2'])
                return not any(server.received for server in others)

            assert await _holds(uses_the_third, 3)

    run_scenario(scenario)


def test_server_that_writes_its_entry_again_goes_on() -> None:
    """One that joined after the copy was made must not be lost."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            harness.store.remove('servers', 'i-1')
            copy = harness.store.take_snapshot()
            entry = servers['i-1'].make_entry('desk', 'a1', sequence=4)
            harness.store.put('servers', 'i-1', entry)

            async def is_served() -> bool:
                return await _status(harness, '/read/x') == 200

            await harness.wait_until(is_served)
            await _come_back(harness, copy)
            assert await _holds(is_served, 1)
            again = servers['i-1'].make_entry('desk', 'a1', sequence=5)
            harness.store.put('servers', 'i-1', again)
            assert await _holds(is_served, 3)

    run_scenario(scenario)


def test_evacuation_holds_until_a_settled_list_lacks_it() -> None:
    """Its zone would get requests while it is being emptied."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1'), 'i-2': ServerStandin('i-2')}
        zones = {'i-1': 'a1', 'i-2': 'a2'}
        async with running_harness(
            servers, make_configuration(), lambda name: zones[name]
        ) as harness:
            copy = harness.store.take_snapshot()
            harness.store.put('evacuations', 'a1', {})
            await asyncio.sleep(0.8)
            await _come_back(harness, copy)
            servers['i-1'].received.clear()

            async def keeps_out() -> bool:
                for number in range(5):
                    await _status(harness, f'/read/{number}')
                return not servers['i-1'].received

            assert await _holds(keeps_out, 3)

            async def is_back() -> bool:
                return not await keeps_out()

            await harness.wait_until(is_back)

    run_scenario(scenario)


def test_lost_entry_of_an_instance_is_written_again() -> None:
    """Others would divide the limits by too few daemons."""

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:

            async def is_registered() -> bool:
                return 'n1' in harness.store.specs(_ENTRIES)

            await harness.wait_until(is_registered)
            harness.store.remove(_ENTRIES, 'n1')
            copy = harness.store.take_snapshot()
            await _come_back(harness, copy)
            await harness.wait_until(is_registered)

    run_scenario(scenario)
