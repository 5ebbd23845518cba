"""Tests of keys, answers and leaving servers while all daemons run."""

import asyncio
import time

import pytest
from tests.process.checkers import (
    find_broken_answers,
    find_false_not_run,
    find_foreign_accounts,
    find_leaked_keys,
    find_requests_after,
)
from tests.process.deployment import ACCOUNTS, DAEMONS, build_key
from tests.process.harness import (
    LOAD_MARGIN_S,
    PROPAGATION_TARGET_S,
    FleetHarness,
    wait_until,
)

from geraniumshelf_standins.caller.client import Caller, Job
from geraniumshelf_standins.caller.exchange import Request

pytestmark = pytest.mark.process

_SECOND_NS = 1_000_000_000
_READ = Job('stock', path='/prices')
_SALE = Job('sale', 'POST', '/sales', b'{}')
_KEYS = [build_key(account) for account, *_ in ACCOUNTS]


async def _exchange(
    harness: FleetHarness, daemon: str, headers: dict[str, str]
) -> int:
    caller = harness.get_caller('steady')
    answer = await caller._exchange(
        harness.caller_address(daemon), Request('GET', '/stock/prices', headers)
    )
    return answer.status


def test_only_the_account_of_the_key_runs_and_no_server_sees_a_key(
    run_scenario,
) -> None:
    """A spoofed account has no effect and no key reaches a backend server.

    The daemon could trust the account header of a caller, or forward a key in
    a header other than its own.
    """
    key = build_key('wary')
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
        {'Authorization': f'Bearer {build_key("none")}'},
    )

    async def scenario(harness: FleetHarness) -> None:
        accounts_by_id = {}
        for daemon in DAEMONS:
            for headers in accepted:
                request_id = (
                    f'{await harness.fetch_id_prefix(daemon)}'
                    f'{harness.create_id_suffix()}'
                )
                accounts_by_id[request_id] = 'wary'
                headers = {**headers, 'Geraniumshelf-Request-Id': request_id}
                assert await _exchange(harness, daemon, headers) == 200
            for headers in refused:
                assert await _exchange(harness, daemon, headers) == 401
        records = await harness.fetch_records('stock')
        assert len(records) == len(accounts_by_id)
        assert find_foreign_accounts(records, accounts_by_id) == []
        assert find_leaked_keys(records, _KEYS) == []

    run_scenario(scenario)


def test_withdrawn_key_stops_on_open_connections_and_cuts_its_upload(
    run_scenario,
) -> None:
    """A withdrawn key is refused on open connections and its uploads are cut.

    A daemon could check the key only when a connection is opened. One daemon
    is cut off from the platform and learns of the withdrawal from a peer.
    """

    async def scenario(harness: FleetHarness) -> None:
        added = await harness.run_operator_command(
            'key', 'add', 'wary', 'guest'
        )
        guest = Caller(added['key'], [], harness.get_caller('wary').random)

        async def is_known() -> bool:
            outcomes = [
                await guest.send(_READ, harness.caller_address(daemon), '')
                for daemon in DAEMONS
            ]
            return all(outcome.status == 200 for outcome in outcomes)

        await wait_until(is_known, PROPAGATION_TARGET_S + LOAD_MARGIN_S)
        await harness.fleet.set_platform_faults(cut_off=['south-b-0'])
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
                guest.send(
                    upload, harness.caller_address(daemon), f'up-{daemon}'
                )
            )
            for daemon in ('north-a-0', 'south-b-0')
        ]

        async def is_running() -> bool:
            records = await harness.fetch_records('photo')
            return len({record['request_id'] for record in records}) == 2

        await wait_until(is_running)
        await harness.run_operator_command('key', 'withdraw', 'guest')
        withdrawn_at_ns = time.monotonic_ns()

        async def is_refused() -> bool:
            outcomes = [
                await guest.send(_READ, harness.caller_address(daemon), '')
                for daemon in DAEMONS
            ]
            return all(outcome.code == 2006 for outcome in outcomes)

        await wait_until(is_refused, PROPAGATION_TARGET_S + LOAD_MARGIN_S)
        cut_uploads = await asyncio.wait_for(
            asyncio.gather(*uploads), PROPAGATION_TARGET_S + LOAD_MARGIN_S
        )
        assert not any(outcome.is_served for outcome in cut_uploads)
        await harness.fleet.set_platform_faults()
        for record in await harness.fetch_records('photo'):
            assert record['outcome'] != 'done'
            assert record['ended_ns'] - withdrawn_at_ns < int(
                (PROPAGATION_TARGET_S + LOAD_MARGIN_S) * _SECOND_NS
            )
        records = await harness.fetch_records()
        assert find_leaked_keys(records, [*_KEYS, added['key']]) == []

    run_scenario(scenario)


def test_answers_are_whole_and_belong_to_their_requests(run_scenario) -> None:
    """A late, cut or missing answer must not reach another caller.

    That happens if a connection to a server is reused before its answer ends.
    """

    async def scenario(harness: FleetHarness) -> None:
        answers = []
        sizes = iter(range(16, 10**9, 16))

        async def read() -> None:
            size = next(sizes) + (next(sizes) % 7) * 160_000
            job = Job('stock', path=f'/r?size={size}', deadline_s=8)
            daemon = DAEMONS[size // 16 % len(DAEMONS)]
            request_id = (
                f'{await harness.fetch_id_prefix(daemon)}'
                f'{harness.create_id_suffix()}'
            )
            answers.append((await harness.send(job, daemon, request_id), size))

        first, second = 'stock-north-a', 'stock-south-b'
        async with harness.background_load((read, 0.02)):
            await asyncio.sleep(1)
            await harness.set_server_faults(first, late_ms=700)
            await asyncio.sleep(1)
            await harness.set_server_faults(second, cut_after=1000)
            await asyncio.sleep(2)
            await harness.set_server_faults(first, late_ms=0, silence=1)
            await harness.set_server_faults(second, cut_after=None)
            await asyncio.sleep(1)
        served = [outcome for outcome, _ in answers if outcome.is_served]
        assert len(served) > len(answers) / 2
        assert find_broken_answers(answers) == []
        outcomes = [outcome for outcome, _ in answers]
        assert (
            find_false_not_run(outcomes, await harness.fetch_records('stock'))
            == []
        )

    run_scenario(scenario)


def test_leaving_server_gets_no_new_work(run_scenario) -> None:
    """A server that reports that it is leaving gets no further requests.

    Requests would fail when it stops.
    """

    async def scenario(harness: FleetHarness) -> None:
        async def sell() -> None:
            await harness.run(_SALE)

        async with harness.background_load((sell, 0.02)):
            await asyncio.sleep(0.5)
            await harness.set_server_faults('sale-north-a', drain=True)
            leaving_since_ns = time.monotonic_ns()
            await asyncio.sleep(PROPAGATION_TARGET_S + LOAD_MARGIN_S + 2)
            await harness.set_server_faults('sale-north-a', drain=False)
        limit_ns = leaving_since_ns + int(
            (PROPAGATION_TARGET_S + LOAD_MARGIN_S) * _SECOND_NS
        )
        records = await harness.fetch_server_records('sale-north-a')
        assert records
        assert find_requests_after(records, limit_ns) == []
        assert all(sent.outcome.is_served for sent in harness.sent[-200:])

    run_scenario(scenario)
