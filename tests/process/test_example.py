"""Runs the example in ``docs/callers.md``, which must match the code."""

import asyncio
import os
import re
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

from tests.process.deployment import build_key
from tests.process.harness import FleetHarness

_PAGE = Path(__file__).parents[2] / 'docs' / 'callers.md'


def test_example_of_the_callers_page_runs(run_scenario) -> None:
    """The copied example gets an answer."""
    page = _PAGE.read_text(encoding='utf-8')
    (code,) = re.findall('```python\n(.*?)```', page, re.DOTALL)

    async def scenario(harness: FleetHarness) -> None:
        environment = {
            **os.environ,
            'ENTRY': harness.caller_address('north-a-0'),
            'KEY': build_key('steady'),
            'SERVICE': 'sale',
            'ACTION': '/one',
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', code, stdout=PIPE, env=environment
        )
        printed, _ = await process.communicate()
        assert printed == b'200\n'
        assert len(await harness.fetch_records('sale')) == 1

    run_scenario(scenario)
