"""Tests of planned stops of each daemon under load."""

import asyncio
import signal

import pytest
from tests.process.checkers import find_false_not_run, find_repeated_runs
from tests.process.deployment import DAEMONS
from tests.process.harness import DEFAULT_TIMEOUT_S, FleetHarness, wait_until

from geraniumshelf_standins.caller.client import Job

pytestmark = pytest.mark.process

_READ = Job('stock', path='/prices')
_SALE = Job('sale', 'POST', '/sales', b'{}')
_UPLOAD = Job(
    'photo',
    'PUT',
    '/long',
    bytes(4_000_000),
    deadline_s=60,
    pace_bytes_per_s=1_000_000,
)


def test_no_request_is_lost_or_doubled_while_each_daemon_stops(
    run_scenario,
) -> None:
    """A stop with SIGTERM must not cut or repeat requests in flight."""

    async def scenario(harness: FleetHarness) -> None:
        uploads = []
        async with harness.background_load(
            (lambda: harness.run(_READ), 0.03),
            (lambda: harness.run(_READ, 'wary'), 0.05),
            (lambda: harness.run(_SALE), 0.05),
        ):
            for daemon in DAEMONS:
                uploads.append(await _stop_during_upload(harness, daemon))
                await harness.restart(daemon)
                await harness.wait_until_linked()
        outcomes = [sent.outcome for sent in harness.sent]
        assert [outcome for outcome in outcomes if not outcome.is_served] == []
        assert all(upload.is_served for upload in uploads), uploads
        records = await harness.fetch_records()
        posts = [record for record in records if record['method'] == 'POST']
        assert find_repeated_runs(posts) == []
        assert find_false_not_run(outcomes, records) == []
        done = [record for record in posts if record['outcome'] == 'done']
        sales = [
            outcome
            for outcome in outcomes
            if outcome.request_id and outcome.is_served
        ]
        assert {record['request_id'] for record in done} <= {
            outcome.request_id for outcome in sales
        }

    run_scenario(scenario)


async def _stop_during_upload(harness: FleetHarness, daemon: str):
    request_id = f'upload-{daemon}'
    upload = asyncio.create_task(harness.send(_UPLOAD, daemon, request_id))

    async def is_running() -> bool:
        records = await harness.fetch_records('photo')
        return any(record['request_id'] == request_id for record in records)

    await wait_until(is_running)
    harness.send_signal(daemon, signal.SIGTERM)
    assert await harness.fleet.daemons[daemon].wait(DEFAULT_TIMEOUT_S) == 0
    return await asyncio.wait_for(upload, DEFAULT_TIMEOUT_S)
