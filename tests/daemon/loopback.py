"""Runs asynchronous test scenarios over loopback with a long timeout."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack


def run_scenario(scenario: Callable[[AsyncExitStack], Awaitable[None]]) -> None:
    async def main() -> None:
        async with AsyncExitStack() as stack:
            await scenario(stack)

    asyncio.run(asyncio.wait_for(main(), 60))


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0.01)
