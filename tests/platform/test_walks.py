"""Guards the walks of ``docs/OPERATIONS.md`` from a request id to a cause."""

import asyncio
import json
from collections.abc import Iterator
from typing import Any

import pytest
from loguru import logger
from tests.platform.harness import (
    make_configuration,
    run_scenario,
    running_harness,
)
from tests.platform.server_standin import ServerStandin

from geraniumshelf_daemon.observability.events import Event
from geraniumshelf_daemon.observability.logs import LogFormat, configure_logging


class _Lines:
    """Keeps what the daemon writes."""

    def __init__(self) -> None:
        self.written: list[dict[str, Any]] = []

    def write(self, text: str) -> None:
        self.written.extend(map(json.loads, text.splitlines()))

    def flush(self) -> None:
        """Do nothing: each line is kept at once."""

    def about(self, request: str) -> list[dict[str, Any]]:
        """Return the lines that name a request."""
        return [line for line in self.written if line.get('request') == request]

    def before(self, event: Event) -> dict[str, Any]:
        """Return the last line of an event."""
        found = [line for line in self.written if line.get('event') == event]
        return found[-1]


@pytest.fixture(name='lines')
def record_lines() -> Iterator[_Lines]:
    """Return the lines of a daemon as a collector of logs gets them."""
    lines = _Lines()
    configure_logging(LogFormat.JSON, 'INFO', lines)
    yield lines
    logger.remove()


def test_rejection_leads_to_the_full_server(lines: _Lines) -> None:
    """Without the load of the server a 503 can't be told from a fault."""

    async def scenario() -> None:
        slow = ServerStandin('s1', slots=1, work_s=1.5)
        async with running_harness(
            {'s1': slow}, make_configuration()
        ) as harness:
            running = await harness.connect()
            running.send('/read/first')
            while not slow.received:
                await asyncio.sleep(0.01)
            caller = await harness.connect()
            answer = await caller.fetch('/read/last', X_Deadline_Ms='80')
            assert answer.status == 503

    run_scenario(scenario)
    (line,) = lines.about('id-/read/last')
    assert line['event'] == Event.REQUEST_REFUSED
    assert line['code'] == 'OVERLOADED'
    assert line['inputs'].startswith('s1 wait ')
    for word in ('work', 'own', 'others', 'slots 1', 'report age', 'left'):
        assert word in line['inputs']


def test_broken_answer_leads_to_the_server_and_what_ran(lines: _Lines) -> None:
    """A 502 for a sale must say that the sale may have run."""

    async def scenario() -> None:
        mute = ServerStandin('s1', make_response=lambda _request: b'')
        async with running_harness(
            {'s1': mute}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/sale/1', method='POST', body=b'x')
            assert answer.status == 502

    run_scenario(scenario)
    found = lines.about('id-/sale/1')
    assert [line['event'] for line in found] == [
        Event.REQUEST_FAILED,
        Event.REQUEST_REFUSED,
    ]
    assert found[0]['server'] == 's1'
    assert found[0]['attempts'] == '1'
    assert found[1]['ran'] == 'unknown'


def test_refusal_for_want_of_tokens_leads_to_the_share(lines: _Lines) -> None:
    """A 429 below the rate of an account has its cause in the shares."""
    account = {
        'name': 'shop',
        'api_keys': ['key'],
        'rate_per_s': 0.5,
        'burst': 0,
        'allowed_regions': [],
    }

    async def scenario() -> None:
        configuration = make_configuration(7, tenants=[account])
        async with running_harness(
            {'s1': ServerStandin('s1')}, configuration
        ) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/read/1')
            assert answer.status == 429

    run_scenario(scenario)
    (line,) = lines.about('id-/read/1')
    assert line['code'] == 'RATE_EXCEEDED'
    assert line['message'].split()[2] == 'shop'
    for word in ('tokens', 'rate', 'demand', 'shares 1', 'after loans'):
        assert word in line['inputs']
    assert lines.before(Event.REVISION_IN_FORCE)['version'] == '7'
    assert 'entry' in lines.before(Event.DUTY_CHANGED)['message']


def test_unknown_key_leads_to_the_version_in_force(lines: _Lines) -> None:
    """Whether a key was added or withdrawn depends on the version."""

    async def scenario() -> None:
        configuration = make_configuration(9)
        async with running_harness(
            {'s1': ServerStandin('s1')}, configuration
        ) as harness:
            caller = await harness.connect()
            answer = await caller.fetch('/read/1', X_Api_Key='other')
            assert answer.status == 401

    run_scenario(scenario)
    refused = lines.before(Event.REQUEST_REFUSED)
    assert refused['code'] == 'KEY_UNKNOWN'
    assert lines.before(Event.REVISION_IN_FORCE)['version'] == '9'
