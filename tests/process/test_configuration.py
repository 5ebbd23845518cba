"""Guards accepted configurations against outages, races and restarts."""

import asyncio
import json
from collections.abc import Iterable

import pytest
from tests.process.deployment import DAEMONS
from tests.process.judges import false_not_run
from tests.process.world import (
    BUSY_MARGIN_S,
    PATIENCE_S,
    TARGET_S,
    World,
    until,
)

from geraniumshelf_standins.caller.client import Caller, Job

pytestmark = pytest.mark.process

_READ = Job('stock', path='/prices', deadline_s=3)
# Longest term of a loan in the design.
LOAN_TERM_S = 4.0
_NORTH = ['north-a-0', 'north-a-1', 'north-b-0']
_SOUTH = ['south-a-0', 'south-b-0']
_UNKNOWN = 2005
_WITHDRAWN = 2006
_CUT_OFF = 2018


def _guest(world: World, key: str) -> Caller:
    return Caller(key, [], world.caller('steady').random)


async def _codes(
    world: World, guest: Caller, daemons: Iterable[str] = DAEMONS
) -> list[int]:
    return [
        (await guest.send(_READ, world.address(daemon), '')).code
        for daemon in daemons
    ]


async def _wait_codes(
    world: World,
    guest: Caller,
    code: int,
    daemons: Iterable[str] = DAEMONS,
    bound_s: float = TARGET_S + BUSY_MARGIN_S,
) -> None:
    async def holds() -> bool:
        return set(await _codes(world, guest, daemons)) == {code}

    await until(holds, bound_s)


async def _add_key(world: World, label: str) -> Caller:
    added = await world.run_operator_command('key', 'add', 'steady', label)
    return _guest(world, added['key'])


def test_revision_accepted_before_an_outage_is_in_force_and_stays(
    play,
) -> None:
    """Guards against a revision that only one zone has seen in time.

    A daemon that restarts during the outage must learn it from peers.
    """

    async def scenario(world: World) -> None:
        guest = await _add_key(world, 'early')
        await _wait_codes(world, guest, 0)
        faults = world.fleet.set_platform_faults
        await faults(cut_off=[*_SOUTH, 'north-b-0'])
        await world.run_operator_command('key', 'withdraw', 'early')
        await faults({'down': 'refuse'})
        await _wait_codes(world, guest, _WITHDRAWN)
        await world.kill('south-b-0')
        seed = world.fleet.instances['north-a-0'].relay_address
        await world.restart('south-b-0', seed_peers=seed)
        refused = [guest.send(_READ, world.address('south-b-0'), '')]

        async def is_serving() -> bool:
            outcome = await world.send(_READ, 'south-b-0', '', 'steady')
            old = await guest.send(_READ, world.address('south-b-0'), '')
            assert not old.is_served
            return outcome.is_served

        await until(is_serving)
        assert not (await refused[0]).is_served
        assert set(await _codes(world, guest)) == {_WITHDRAWN}
        await faults({'stale_s': 60})
        await asyncio.sleep(1)
        assert set(await _codes(world, guest)) == {_WITHDRAWN}
        await faults()
        await world.wait_all()
        assert set(await _codes(world, guest)) == {_WITHDRAWN}

    play(scenario)


def test_revision_is_in_force_in_time_while_watches_stall(play) -> None:
    """Guards against watchers that only wait for a watch to respond."""

    async def scenario(world: World) -> None:
        guest = await _add_key(world, 'stalled')
        await _wait_codes(world, guest, 0)
        await world.fleet.set_platform_faults({'stall_watches': True})
        try:
            await world.run_operator_command('key', 'withdraw', 'stalled')
            await _wait_codes(world, guest, _WITHDRAWN)
        finally:
            await world.fleet.set_platform_faults()

    play(scenario)


def test_lost_answer_of_an_apply_is_cleared_up(play) -> None:
    """Guards against a change reported as failed that took effect."""

    async def scenario(world: World) -> None:
        # The first answer is that of a part, the second that of the head.
        await world.fleet.set_platform_faults(
            {'lose_answers': 2, 'only_from': ['127.0.0.1']}
        )
        try:
            guest = await _add_key(world, 'lost')
        finally:
            await world.fleet.set_platform_faults()
        await _wait_codes(world, guest, 0)

    play(scenario)


def test_racing_operators_lose_no_accepted_change(play) -> None:
    """Guards against an apply that overwrites another operator's."""

    async def scenario(world: World) -> None:
        arguments = [
            ('key', 'add', 'steady', f'race-{number}', '--json')
            for number in range(4)
        ]
        printed = await asyncio.gather(
            *(world.fleet.run_operator_command(*each) for each in arguments),
            return_exceptions=True,
        )
        accepted = [
            _guest(world, json.loads(text)['key'])
            for text in printed
            if isinstance(text, str)
        ]
        assert accepted
        for guest in accepted:
            await _wait_codes(world, guest, 0)
        refused = [one for one in printed if not isinstance(one, str)]
        assert all('5002' in str(one) for one in refused), refused

    play(scenario)


def test_cut_off_zone_serves_or_refuses_as_each_account_chose(play) -> None:
    """Guards the rule for keys that can't be withdrawn, and its end."""

    async def scenario(world: World) -> None:
        world.fleet.relays.isolate(['south-a-0'])
        await world.fleet.set_platform_faults(cut_off=['south-a-0'])

        async def read(account: str):
            name = f'{account}-{world.suffix()}'
            return await world.send(_READ, 'south-a-0', name, account)

        async def is_cut_off() -> bool:
            return (await read('wary')).code == _CUT_OFF

        async def has_floor() -> bool:
            return (await read('steady')).is_served

        await until(is_cut_off, TARGET_S + BUSY_MARGIN_S)
        # The floor of the zone is lent to another until the loans expire.
        await until(has_floor, LOAN_TERM_S + BUSY_MARGIN_S)
        world.sent.clear()
        for _ in range(20):
            assert (await read('steady')).is_served
            assert (await read('wary')).code == _CUT_OFF
            assert set(await _codes(world, world.caller('wary'), _NORTH)) == {0}
        outcomes = [sent.outcome for sent in world.sent]
        assert false_not_run(outcomes, await world.records('stock')) == []
        world.fleet.relays.heal()
        await world.fleet.set_platform_faults()
        await _wait_codes(world, world.caller('wary'), 0)

    play(scenario)


def test_daemon_started_while_the_platform_is_down_serves(play) -> None:
    """Guards against a start that needs the platform."""

    async def scenario(world: World) -> None:
        await world.fleet.set_platform_faults({'down': 'unavailable'})
        try:
            await world.kill('south-a-0')
            seed = world.fleet.instances['north-b-0'].relay_address
            await world.restart('south-a-0', seed_peers=seed)
            for account in ('steady', 'wary', 'limited'):
                caller = world.caller(account)
                await _wait_codes(world, caller, 0, ['south-a-0'], PATIENCE_S)
        finally:
            await world.fleet.set_platform_faults()
        await world.wait_all()

    play(scenario)
