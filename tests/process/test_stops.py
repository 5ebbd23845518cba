"""Guards planned stops of each daemon under load."""

import asyncio
import signal

import pytest
from tests.process.deployment import DAEMONS
from tests.process.judges import doubled_runs, false_not_run
from tests.process.world import PATIENCE_S, World, until

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


def test_no_request_is_lost_or_doubled_while_each_daemon_stops(play) -> None:
    """Guards against stops that cut or repeat requests."""

    async def scenario(world: World) -> None:
        uploads = []
        async with world.load(
            (lambda: world.run(_READ), 0.03),
            (lambda: world.run(_READ, 'wary'), 0.05),
            (lambda: world.run(_SALE), 0.05),
        ):
            for daemon in DAEMONS:
                uploads.append(await _stop_during_upload(world, daemon))
                await world.restart(daemon)
                await world.wait_all()
        outcomes = [sent.outcome for sent in world.sent]
        assert [one for one in outcomes if not one.is_served] == []
        assert all(upload.is_served for upload in uploads), uploads
        records = await world.records()
        posts = [record for record in records if record['method'] == 'POST']
        assert doubled_runs(posts) == []
        assert false_not_run(outcomes, records) == []
        done = [record for record in posts if record['outcome'] == 'done']
        sales = [one for one in outcomes if one.request_id and one.is_served]
        assert {record['request_id'] for record in done} <= {
            one.request_id for one in sales
        }

    play(scenario)


async def _stop_during_upload(world: World, daemon: str):
    name = f'upload-{daemon}'
    upload = asyncio.create_task(world.send(_UPLOAD, daemon, name))

    async def is_running() -> bool:
        records = await world.records('photo')
        return any(record['request_id'] == name for record in records)

    await until(is_running)
    world.signal(daemon, signal.SIGTERM)
    assert await world.fleet.daemons[daemon].wait(PATIENCE_S) == 0
    return await asyncio.wait_for(upload, PATIENCE_S)
