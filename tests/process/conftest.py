"""Fixture that starts one fleet for the tests of a module."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from tests.process.harness import FleetHarness, running_harness

Scenario = Callable[[FleetHarness], Coroutine[Any, Any, None]]


@pytest.fixture(scope='module')
def run_scenario(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> Iterator[Any]:
    """Return a function that runs a scenario on the fleet of the module.

    A module sets ``SLOTS`` to change the slots of each backend server.
    """
    slots = getattr(request.module, 'SLOTS', 50)
    folder: Path = tmp_path_factory.mktemp('fleet')
    with asyncio.Runner() as runner:
        manager = running_harness(folder, slots=slots)
        harness = runner.run(manager.__aenter__())

        def run(scenario: Scenario) -> None:
            runner.run(asyncio.wait_for(scenario(harness), 90))

        try:
            yield run
        finally:
            runner.run(manager.__aexit__(None, None, None))
