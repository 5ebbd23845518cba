"""Tests of tracing a request id to its cause, as in ``docs/OPERATIONS.md``."""

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


class _LogCapture:
    """A log sink that keeps the JSON records of the daemon."""

    def __init__(self) -> None:
        self.records: list[dict[str, Any]] = []

    def write(self, text: str) -> None:
        self.records.extend(map(json.loads, text.splitlines()))

    def flush(self) -> None:
        """Do nothing, as records are not buffered."""

    def records_of_request(self, request: str) -> list[dict[str, Any]]:
        """Return the records of a request."""
        return [
            record
            for record in self.records
            if record.get('request') == request
        ]

    def last_record(self, event: Event) -> dict[str, Any]:
        """Return the last record of an event."""
        records = [
            record for record in self.records if record.get('event') == event
        ]
        return records[-1]


@pytest.fixture(name='log_capture')
def capture_logs() -> Iterator[_LogCapture]:
    """Capture the log of a daemon as a log collector receives it."""
    log_capture = _LogCapture()
    configure_logging(LogFormat.JSON, 'INFO', log_capture)
    yield log_capture
    logger.remove()


def test_rejection_leads_to_the_full_server(log_capture: _LogCapture) -> None:
    """Without the load of the server, a 503 looks like a fault."""

    async def scenario() -> None:
        full_server = ServerStandin('s1', slots=1, work_s=1.5)
        async with running_harness(
            {'s1': full_server}, make_configuration()
        ) as harness:
            first_caller = await harness.connect()
            first_caller.send('/read/first')
            while not full_server.received:
                await asyncio.sleep(0.01)
            caller = await harness.connect()
            response = await caller.fetch('/read/last', X_Deadline_Ms='80')
            assert response.status == 503

    run_scenario(scenario)
    (record,) = log_capture.records_of_request('id-/read/last')
    assert record['event'] == Event.REQUEST_REFUSED
    assert record['code'] == 'OVERLOADED'
    assert record['inputs'].startswith('s1 wait ')
    for label in ('work', 'own', 'others', 'slots 1', 'report age', 'left'):
        assert label in record['inputs']


def test_broken_response_leads_to_the_server_and_what_ran(
    log_capture: _LogCapture,
) -> None:
    """The log of a 502 must tell that the sale may have run."""

    async def scenario() -> None:
        closing_server = ServerStandin('s1', make_response=lambda _request: b'')
        async with running_harness(
            {'s1': closing_server}, make_configuration()
        ) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/sale/1', method='POST', body=b'x')
            assert response.status == 502

    run_scenario(scenario)
    records = log_capture.records_of_request('id-/sale/1')
    assert [record['event'] for record in records] == [
        Event.REQUEST_FAILED,
        Event.REQUEST_REFUSED,
    ]
    assert records[0]['server'] == 's1'
    assert records[0]['attempts'] == '1'
    assert records[1]['ran'] == 'unknown'


def test_refusal_for_want_of_tokens_leads_to_the_share(
    log_capture: _LogCapture,
) -> None:
    """A 429 below the rate of an account is due to the daemon's share."""
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
            response = await caller.fetch('/read/1')
            assert response.status == 429

    run_scenario(scenario)
    (record,) = log_capture.records_of_request('id-/read/1')
    assert record['code'] == 'RATE_EXCEEDED'
    assert record['message'].split()[2] == 'shop'
    for label in ('tokens', 'rate', 'demand', 'shares 1', 'after loans'):
        assert label in record['inputs']
    assert log_capture.last_record(Event.REVISION_IN_FORCE)['version'] == '7'
    assert 'entry' in log_capture.last_record(Event.DUTY_CHANGED)['message']


def test_unknown_key_leads_to_the_version_in_force(
    log_capture: _LogCapture,
) -> None:
    """The version in force determines whether a key is valid."""

    async def scenario() -> None:
        configuration = make_configuration(9)
        async with running_harness(
            {'s1': ServerStandin('s1')}, configuration
        ) as harness:
            caller = await harness.connect()
            response = await caller.fetch('/read/1', X_Api_Key='other')
            assert response.status == 401

    run_scenario(scenario)
    refusal = log_capture.last_record(Event.REQUEST_REFUSED)
    assert refusal['code'] == 'KEY_UNKNOWN'
    assert log_capture.last_record(Event.REVISION_IN_FORCE)['version'] == '9'
