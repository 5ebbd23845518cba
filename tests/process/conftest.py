"""One running fleet for the tests of a module."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from tests.process.world import World, running_world

Scenario = Callable[[World], Coroutine[Any, Any, None]]


@pytest.fixture(scope='module')
def play(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Any]:
    """Return a function that runs a scenario on the fleet of the module.

    A module sets ``SLOTS`` for backend servers with few slots.
    """
    slots = getattr(request.module, 'SLOTS', 50)
    folder: Path = tmp_path_factory.mktemp('fleet')
    with asyncio.Runner() as runner:
        manager = running_world(folder, slots=slots)
        world = runner.run(manager.__aenter__())

        def run(scenario: Scenario) -> None:
            runner.run(asyncio.wait_for(scenario(world), 90))

        try:
            yield run
        finally:
            runner.run(manager.__aexit__(None, None, None))
