"""Tests of the daemon while the store is restored from an older snapshot."""

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

_INSTANCES_KIND = 'geraniumshelf-instances'


async def _fetch_status(
    harness: EdgeHarness, target: str, key: str = 'key'
) -> int:
    caller = await harness.connect()
    return (await caller.fetch(target, X_Api_Key=key)).status


async def _restore_store(harness: EdgeHarness, snapshot: StoreSnapshot) -> None:
    """Make the store unavailable for 0.3 s and restore it from a snapshot."""
    harness.store.behaviour = StoreBehaviour.BUSY
    await asyncio.sleep(0.3)
    harness.store.restore(snapshot)
    harness.store.behaviour = StoreBehaviour.SOUND


async def _stays_true(
    condition: Callable[[], Awaitable[bool]], duration_s: float
) -> bool:
    """Return whether a condition stays true for a time."""
    deadline = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < deadline:
        if not await condition():
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
    """Guard against a withdrawn key that becomes valid again.

    The snapshot has an older configuration, in which the key is valid.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        first = make_configuration(1, tenants=_tenants('key', 'old'))
        async with running_harness(servers, first) as harness:
            snapshot = harness.store.take_snapshot()
            second = make_configuration(2, tenants=_tenants('key'))
            harness.store.put('config', 'main', second)

            async def is_withdrawn() -> bool:
                return await _fetch_status(harness, '/read/x', 'old') == 401

            await harness.wait_until(is_withdrawn)
            await _restore_store(harness, snapshot)
            assert await _stays_true(is_withdrawn, 2)
            assert await _fetch_status(harness, '/read/x') == 200
            harness.store.put('config', 'main', second)
            third = make_configuration(3, tenants=_tenants('key', 'new'))
            harness.store.put('config', 'main', third)

            async def is_new_in_force() -> bool:
                return await _fetch_status(harness, '/read/x', 'new') == 200

            await harness.wait_until(is_new_in_force)
            assert await is_withdrawn()

    run_scenario(scenario)


def test_changes_after_the_return_are_seen_though_revisions_repeat() -> None:
    """Guard against missed changes after the store is restored.

    The restored store counts from a lower revision again. A watch from the
    former revision would miss all changes until the store passes it.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration(1)) as harness:
            snapshot = harness.store.take_snapshot()
            for _ in range(20):
                entry = servers['i-1'].make_entry('desk', 'a1')
                harness.store.put('servers', 'i-1', entry)
            await asyncio.sleep(0.8)
            await _restore_store(harness, snapshot)
            routes = {'host': 'shop.example', 'paths': [make_path('/new/')]}
            harness.store.put(
                'config', 'main', make_configuration(2, hosts=[routes])
            )

            async def is_new_in_force() -> bool:
                return await _fetch_status(harness, '/new/x') == 200

            await harness.wait_until(is_new_in_force)

    run_scenario(scenario)


def test_server_that_left_or_drains_is_not_used_again() -> None:
    """Guard against requests to servers that left or are about to stop.

    The snapshot lists them as ready, as they were when it was taken.
    """

    async def scenario() -> None:
        names = ('i-1', 'i-2', 'i-3')
        servers = {name: ServerStandin(name) for name in names}
        async with running_harness(servers, make_configuration()) as harness:
            snapshot = harness.store.take_snapshot()
            draining = servers['i-1'].make_entry(
                'desk', 'a1', state='draining', sequence=9
            )
            harness.store.put('servers', 'i-1', draining)
            harness.store.remove('servers', 'i-2')
            await asyncio.sleep(0.8)
            await _restore_store(harness, snapshot)
            for name in ('i-1', 'i-2'):
                servers[name].received.clear()

            async def is_only_third_used() -> bool:
                for number in range(10):
                    assert (
                        await _fetch_status(harness, f'/read/{number}') == 200
                    )
                others = (servers['i-1'], servers['i-2'])
                return not any(server.received for server in others)

            assert await _stays_true(is_only_third_used, 3)

    run_scenario(scenario)


def test_server_that_writes_its_entry_again_goes_on() -> None:
    """A server that joined after the snapshot was taken must stay in use.

    The snapshot lacks its entry until the server writes it again.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:
            harness.store.remove('servers', 'i-1')
            snapshot = harness.store.take_snapshot()
            entry = servers['i-1'].make_entry('desk', 'a1', sequence=4)
            harness.store.put('servers', 'i-1', entry)

            async def is_served() -> bool:
                return await _fetch_status(harness, '/read/x') == 200

            await harness.wait_until(is_served)
            await _restore_store(harness, snapshot)
            assert await _stays_true(is_served, 1)
            renewed = servers['i-1'].make_entry('desk', 'a1', sequence=5)
            harness.store.put('servers', 'i-1', renewed)
            assert await _stays_true(is_served, 3)

    run_scenario(scenario)


def test_evacuation_holds_until_a_settled_list_lacks_it() -> None:
    """Guard against requests to a zone that is still being evacuated.

    The snapshot lacks the evacuation. The zone must get no requests until a
    later list lacks the evacuation too.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1'), 'i-2': ServerStandin('i-2')}
        zones = {'i-1': 'a1', 'i-2': 'a2'}
        async with running_harness(
            servers, make_configuration(), lambda name: zones[name]
        ) as harness:
            snapshot = harness.store.take_snapshot()
            harness.store.put('evacuations', 'a1', {})
            await asyncio.sleep(0.8)
            await _restore_store(harness, snapshot)
            servers['i-1'].received.clear()

            async def is_zone_avoided() -> bool:
                for number in range(5):
                    await _fetch_status(harness, f'/read/{number}')
                return not servers['i-1'].received

            assert await _stays_true(is_zone_avoided, 3)

            async def is_zone_used() -> bool:
                return not await is_zone_avoided()

            await harness.wait_until(is_zone_used)

    run_scenario(scenario)


def test_lost_entry_of_an_instance_is_written_again() -> None:
    """Guard against limits that are divided by too few instances.

    The snapshot lacks the entry of this daemon, so the others do not count it.
    """

    async def scenario() -> None:
        servers = {'i-1': ServerStandin('i-1')}
        async with running_harness(servers, make_configuration()) as harness:

            async def is_registered() -> bool:
                return 'n1' in harness.store.specs(_INSTANCES_KIND)

            await harness.wait_until(is_registered)
            harness.store.remove(_INSTANCES_KIND, 'n1')
            snapshot = harness.store.take_snapshot()
            await _restore_store(harness, snapshot)
            await harness.wait_until(is_registered)

    run_scenario(scenario)
