"""Tests of accepted configurations during outages, races and restarts."""

import asyncio
import json
from collections.abc import Iterable

import pytest
from tests.process.checkers import find_false_not_run
from tests.process.deployment import DAEMONS
from tests.process.harness import (
    DEFAULT_TIMEOUT_S,
    LOAD_MARGIN_S,
    PROPAGATION_TARGET_S,
    FleetHarness,
    wait_until,
)

from geraniumshelf_standins.caller.client import Caller, Job

pytestmark = pytest.mark.process

_READ = Job('stock', path='/prices', deadline_s=3)
# Longest term of a loan, seconds.
LOAN_TERM_S = 4.0
_NORTH = ['north-a-0', 'north-a-1', 'north-b-0']
_SOUTH = ['south-a-0', 'south-b-0']
_KEY_UNKNOWN_CODE = 2005
_KEY_WITHDRAWN_CODE = 2006
_CUT_OFF_CODE = 2018


def _build_guest(harness: FleetHarness, key: str) -> Caller:
    return Caller(key, [], harness.get_caller('steady').random)


async def _collect_codes(
    harness: FleetHarness, guest: Caller, daemons: Iterable[str] = DAEMONS
) -> list[int]:
    return [
        (await guest.send(_READ, harness.caller_address(daemon), '')).code
        for daemon in daemons
    ]


async def _wait_for_code(
    harness: FleetHarness,
    guest: Caller,
    code: int,
    daemons: Iterable[str] = DAEMONS,
    timeout_s: float = PROPAGATION_TARGET_S + LOAD_MARGIN_S,
) -> None:
    async def holds() -> bool:
        return set(await _collect_codes(harness, guest, daemons)) == {code}

    await wait_until(holds, timeout_s)


async def _add_key(harness: FleetHarness, label: str) -> Caller:
    added = await harness.run_operator_command('key', 'add', 'steady', label)
    return _build_guest(harness, added['key'])


def test_revision_accepted_before_an_outage_is_in_force_and_stays(
    run_scenario,
) -> None:
    """A revision that only one zone read from the platform takes effect.

    The platform fails right after the revision is accepted, so the other
    daemons must learn it from peers, and so must one that restarts meanwhile.
    Stale reads after the outage must not undo it.
    """

    async def scenario(harness: FleetHarness) -> None:
        guest = await _add_key(harness, 'early')
        await _wait_for_code(harness, guest, 0)
        faults = harness.fleet.set_platform_faults
        await faults(cut_off=[*_SOUTH, 'north-b-0'])
        await harness.run_operator_command('key', 'withdraw', 'early')
        await faults({'down': 'refuse'})
        await _wait_for_code(harness, guest, _KEY_WITHDRAWN_CODE)
        await harness.kill('south-b-0')
        seed = harness.fleet.instances['north-a-0'].relay_address
        await harness.restart('south-b-0', seed_peers=seed)
        guest_reads = [
            guest.send(_READ, harness.caller_address('south-b-0'), '')
        ]

        async def is_serving() -> bool:
            outcome = await harness.send(_READ, 'south-b-0', '', 'steady')
            old = await guest.send(
                _READ, harness.caller_address('south-b-0'), ''
            )
            assert not old.is_served
            return outcome.is_served

        await wait_until(is_serving)
        assert not (await guest_reads[0]).is_served
        assert set(await _collect_codes(harness, guest)) == {
            _KEY_WITHDRAWN_CODE
        }
        await faults({'stale_s': 60})
        await asyncio.sleep(1)
        assert set(await _collect_codes(harness, guest)) == {
            _KEY_WITHDRAWN_CODE
        }
        await faults()
        await harness.wait_until_linked()
        assert set(await _collect_codes(harness, guest)) == {
            _KEY_WITHDRAWN_CODE
        }

    run_scenario(scenario)


def test_revision_is_in_force_in_time_while_watches_stall(run_scenario) -> None:
    """A revision takes effect in time although no watch gets a response.

    Daemons must also poll.
    """

    async def scenario(harness: FleetHarness) -> None:
        guest = await _add_key(harness, 'stalled')
        await _wait_for_code(harness, guest, 0)
        await harness.fleet.set_platform_faults({'stall_watches': True})
        try:
            await harness.run_operator_command('key', 'withdraw', 'stalled')
            await _wait_for_code(harness, guest, _KEY_WITHDRAWN_CODE)
        finally:
            await harness.fleet.set_platform_faults()

    run_scenario(scenario)


def test_lost_answer_of_an_apply_is_cleared_up(run_scenario) -> None:
    """A change that took effect is not reported as failed.

    The platform stores it but its response is lost.
    """

    async def scenario(harness: FleetHarness) -> None:
        # The first response is for a part, the second for the head.
        await harness.fleet.set_platform_faults(
            {'lose_answers': 2, 'only_from': ['127.0.0.1']}
        )
        try:
            guest = await _add_key(harness, 'lost')
        finally:
            await harness.fleet.set_platform_faults()
        await _wait_for_code(harness, guest, 0)

    run_scenario(scenario)


def test_racing_operators_lose_no_accepted_change(run_scenario) -> None:
    """Concurrent operator commands must not overwrite each other's changes."""

    async def scenario(harness: FleetHarness) -> None:
        arguments = [
            ('key', 'add', 'steady', f'race-{number}', '--json')
            for number in range(4)
        ]
        printed = await asyncio.gather(
            *(
                harness.fleet.run_operator_command(*command)
                for command in arguments
            ),
            return_exceptions=True,
        )
        accepted = [
            _build_guest(harness, json.loads(text)['key'])
            for text in printed
            if isinstance(text, str)
        ]
        assert accepted
        for guest in accepted:
            await _wait_for_code(harness, guest, 0)
        failures = [result for result in printed if not isinstance(result, str)]
        assert all('5002' in str(result) for result in failures), failures

    run_scenario(scenario)


def test_cut_off_zone_serves_or_refuses_as_each_account_chose(
    run_scenario,
) -> None:
    """A zone without platform and peers follows the cut-off rule of accounts.

    Withdrawn keys can't reach it, so it refuses accounts with the rule
    ``refuse``. They are served again when the partition ends.
    """

    async def scenario(harness: FleetHarness) -> None:
        harness.fleet.relays.isolate(['south-a-0'])
        await harness.fleet.set_platform_faults(cut_off=['south-a-0'])

        async def read(account: str):
            request_id = f'{account}-{harness.create_id_suffix()}'
            return await harness.send(_READ, 'south-a-0', request_id, account)

        async def is_cut_off() -> bool:
            return (await read('wary')).code == _CUT_OFF_CODE

        async def has_floor() -> bool:
            return (await read('steady')).is_served

        await wait_until(is_cut_off, PROPAGATION_TARGET_S + LOAD_MARGIN_S)
        # The floor of the zone is lent to another zone until the loans expire.
        await wait_until(has_floor, LOAN_TERM_S + LOAD_MARGIN_S)
        harness.sent.clear()
        for _ in range(20):
            assert (await read('steady')).is_served
            assert (await read('wary')).code == _CUT_OFF_CODE
            assert set(
                await _collect_codes(
                    harness, harness.get_caller('wary'), _NORTH
                )
            ) == {0}
        outcomes = [sent.outcome for sent in harness.sent]
        assert (
            find_false_not_run(outcomes, await harness.fetch_records('stock'))
            == []
        )
        harness.fleet.relays.heal()
        await harness.fleet.set_platform_faults()
        await _wait_for_code(harness, harness.get_caller('wary'), 0)

    run_scenario(scenario)


def test_daemon_started_while_the_platform_is_down_serves(run_scenario) -> None:
    """A daemon can start from its peers alone."""

    async def scenario(harness: FleetHarness) -> None:
        await harness.fleet.set_platform_faults({'down': 'unavailable'})
        try:
            await harness.kill('south-a-0')
            seed = harness.fleet.instances['north-b-0'].relay_address
            await harness.restart('south-a-0', seed_peers=seed)
            for account in ('steady', 'wary', 'limited'):
                caller = harness.get_caller(account)
                await _wait_for_code(
                    harness, caller, 0, ['south-a-0'], DEFAULT_TIMEOUT_S
                )
        finally:
            await harness.fleet.set_platform_faults()
        await harness.wait_until_linked()

    run_scenario(scenario)
