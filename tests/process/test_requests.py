"""Guards keys, answers and leaving servers while all daemons run."""

import asyncio
import time

import pytest
from tests.process.deployment import ACCOUNTS, DAEMONS, key_of
from tests.process.judges import (
    broken_answers,
    false_not_run,
    foreign_accounts,
    leaked_keys,
    work_after,
)
from tests.process.world import BUSY_MARGIN_S, TARGET_S, World, until

from geraniumshelf_standins.caller.client import Caller, Job
from geraniumshelf_standins.caller.exchange import Request

pytestmark = pytest.mark.process

_SECOND_NS = 1_000_000_000
_READ = Job('stock', path='/prices')
_SALE = Job('sale', 'POST', '/sales', b'{}')
_KEYS = [key_of(account) for account, *_ in ACCOUNTS]


async def _exchange(world: World, daemon: str, headers: dict[str, str]) -> int:
    caller = world.caller('steady')
    answer = await caller._exchange(
        world.address(daemon), Request('GET', '/stock/prices', headers)
    )
    return answer.status


def test_only_the_account_of_the_key_runs_and_no_server_sees_a_key(
    play,
) -> None:
    """Guards against spoofed accounts and keys that pass through."""
    key = key_of('wary')
    accepted = (
        {'Geraniumshelf-Key': key, 'Geraniumshelf-Account': 'limited'},
        {'geraniumshelf-KEY': key, 'GERANIUMSHELF-ACCOUNT': 'limited'},
        {'authorization': f'bearer {key}', 'X-Note': f'sent with {key}'},
        {'Authorization': f'Bearer {key}', 'Cookie': f'k={key}'},
        {'Geraniumshelf-Key': key, 'Authorization': f'Bearer {key}'},
    )
    refused = (
        {},
        {'Geraniumshelf-Account': 'wary'},
        {'Geraniumshelf-Key': f'{key}x'},
        {'Geraniumshelf-Key': key[:-1]},
        {'Authorization': f'Bearer {key_of("none")}'},
    )

    async def scenario(world: World) -> None:
        owners = {}
        for daemon in DAEMONS:
            for headers in accepted:
                name = f'{await world.prefix(daemon)}{world.suffix()}'
                owners[name] = 'wary'
                headers = {**headers, 'Geraniumshelf-Request-Id': name}
                assert await _exchange(world, daemon, headers) == 200
            for headers in refused:
                assert await _exchange(world, daemon, headers) == 401
        records = await world.records('stock')
        assert len(records) == len(owners)
        assert foreign_accounts(records, owners) == []
        assert leaked_keys(records, _KEYS) == []

    play(scenario)


def test_withdrawn_key_stops_on_open_connections_and_cuts_its_upload(
    play,
) -> None:
    """Guards revocation for callers that are connected already.

    One daemon learns of the withdrawal only from a peer.
    """

    async def scenario(world: World) -> None:
        added = await world.run_operator_command('key', 'add', 'wary', 'guest')
        guest = Caller(added['key'], [], world.caller('wary').random)

        async def is_known() -> bool:
            outcomes = [
                await guest.send(_READ, world.address(daemon), '')
                for daemon in DAEMONS
            ]
            return all(outcome.status == 200 for outcome in outcomes)

        await until(is_known, TARGET_S + BUSY_MARGIN_S)
        await world.fleet.set_platform_faults(cut_off=['south-b-0'])
        upload = Job(
            'photo',
            'PUT',
            '/long',
            bytes(40_000_000),
            deadline_s=60,
            pace_bytes_per_s=1_000_000,
        )
        uploads = [
            asyncio.create_task(
                guest.send(upload, world.address(daemon), f'up-{daemon}')
            )
            for daemon in ('north-a-0', 'south-b-0')
        ]

        async def is_running() -> bool:
            records = await world.records('photo')
            return len({record['request_id'] for record in records}) == 2

        await until(is_running)
        await world.run_operator_command('key', 'withdraw', 'guest')
        withdrawn = time.monotonic_ns()

        async def is_refused() -> bool:
            outcomes = [
                await guest.send(_READ, world.address(daemon), '')
                for daemon in DAEMONS
            ]
            return all(outcome.code == 2006 for outcome in outcomes)

        await until(is_refused, TARGET_S + BUSY_MARGIN_S)
        cut_uploads = await asyncio.wait_for(
            asyncio.gather(*uploads), TARGET_S + BUSY_MARGIN_S
        )
        assert not any(outcome.is_served for outcome in cut_uploads)
        await world.fleet.set_platform_faults()
        for record in await world.records('photo'):
            assert record['outcome'] != 'done'
            assert record['ended_ns'] - withdrawn < int(
                (TARGET_S + BUSY_MARGIN_S) * _SECOND_NS
            )
        records = await world.records()
        assert leaked_keys(records, [*_KEYS, added['key']]) == []

    play(scenario)


def test_answers_are_whole_and_belong_to_their_requests(play) -> None:
    """Guards against late, cut and silent answers reaching the wrong caller."""

    async def scenario(world: World) -> None:
        answers = []
        sizes = iter(range(16, 10**9, 16))

        async def read() -> None:
            size = next(sizes) + (next(sizes) % 7) * 160_000
            job = Job('stock', path=f'/r?size={size}', deadline_s=8)
            daemon = DAEMONS[size // 16 % len(DAEMONS)]
            name = f'{await world.prefix(daemon)}{world.suffix()}'
            answers.append((await world.send(job, daemon, name), size))

        first, second = 'stock-north-a', 'stock-south-b'
        async with world.load((read, 0.02)):
            await asyncio.sleep(1)
            await world.set_server_faults(first, late_ms=700)
            await asyncio.sleep(1)
            await world.set_server_faults(second, cut_after=1000)
            await asyncio.sleep(2)
            await world.set_server_faults(first, late_ms=0, silence=1)
            await world.set_server_faults(second, cut_after=None)
            await asyncio.sleep(1)
        served = [outcome for outcome, _ in answers if outcome.is_served]
        assert len(served) > len(answers) / 2
        assert broken_answers(answers) == []
        outcomes = [outcome for outcome, _ in answers]
        assert false_not_run(outcomes, await world.records('stock')) == []

    play(scenario)


def test_leaving_server_gets_no_new_work(play) -> None:
    """Guards against sending to a server that is about to stop."""

    async def scenario(world: World) -> None:
        async def sell() -> None:
            await world.run(_SALE)

        async with world.load((sell, 0.02)):
            await asyncio.sleep(0.5)
            await world.set_server_faults('sale-north-a', drain=True)
            left = time.monotonic_ns()
            await asyncio.sleep(TARGET_S + BUSY_MARGIN_S + 2)
            await world.set_server_faults('sale-north-a', drain=False)
        limit = left + int((TARGET_S + BUSY_MARGIN_S) * _SECOND_NS)
        records = await world.records_of('sale-north-a')
        assert records
        assert work_after(records, limit) == []
        assert all(sent.outcome.is_served for sent in world.sent[-200:])

    play(scenario)
