"""Guards requests that come before their daemon can serve them."""

import asyncio

from tests.platform.server_standin import ServerStandin
from tests.platform.store_standin import Mood
from tests.platform.world import make_configuration, make_world, run


def test_request_that_comes_while_the_daemon_loads_is_served() -> None:
    """After a loss of power all callers come back before it has loaded."""

    async def scenario() -> None:
        async with make_world({'i-1': ServerStandin('i-1')}) as world:
            caller = await world.connect()
            caller.send('/open/1')
            await asyncio.sleep(0.1)
            world.store.put('config', 'main', make_configuration())
            assert (await caller.receive()).status == 200

    run(scenario)


def test_request_is_refused_at_once_while_the_store_does_not_answer() -> None:
    """The daemon can't know when it will have loaded."""

    async def scenario() -> None:
        async with make_world({'i-1': ServerStandin('i-1')}) as world:
            world.store.mood = Mood.BUSY

            async def is_disconnected() -> bool:
                return world.daemon._store_follower.is_disconnected

            await world.until(is_disconnected)
            caller = await world.connect()
            begun = asyncio.get_running_loop().time()
            assert (await caller.ask('/open/1')).status == 503
            assert asyncio.get_running_loop().time() - begun < 0.3

    run(scenario)
