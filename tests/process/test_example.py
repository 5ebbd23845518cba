"""Guards the example of the callers' page against drifting from the code."""

import asyncio
import os
import re
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

from tests.process.deployment import key_of
from tests.process.world import World

_PAGE = Path(__file__).parents[2] / 'docs' / 'callers.md'


def test_example_of_the_callers_page_runs(play) -> None:
    """A caller who copies the example must get an answer."""
    page = _PAGE.read_text(encoding='utf-8')
    (code,) = re.findall('```python\n(.*?)```', page, re.DOTALL)

    async def scenario(world: World) -> None:
        environment = {
            **os.environ,
            'ENTRY': world.address('north-a-0'),
            'KEY': key_of('steady'),
            'SERVICE': 'sale',
            'ACTION': '/one',
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', code, stdout=PIPE, env=environment
        )
        printed, _ = await process.communicate()
        assert printed == b'200\n'
        assert len(await world.records('sale')) == 1

    play(scenario)
