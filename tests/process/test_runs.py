"""Guards at-most-once execution and truthful refusals under failure."""

import asyncio
import signal
from random import Random

import pytest
from tests.process.deployment import DAEMONS
from tests.process.judges import doubled_runs, false_not_run
from tests.process.world import World

from geraniumshelf_standins.caller.client import Job

pytestmark = pytest.mark.process

# Longer than the longest loan term and the silence after which a peer is
# considered down.
PAST_EVERY_LEASE_S = 6.0
_SALE = Job('sale', 'POST', '/sales', b'{}', deadline_s=3)


class _Prefixes:
    """Prefixes of all daemons; those of dead daemons are kept and used."""

    def __init__(self, world: World) -> None:
        self.known: dict[str, str] = {}
        self._world = world

    async def refresh(self) -> None:
        for daemon in DAEMONS:
            address = self._world.address(daemon)
            caller = self._world.caller('steady', 'prefixes')
            try:
                content = await caller.lookup('sale', address)
            except (OSError, TimeoutError, ValueError):
                continue
            for entry in content.get('entries', ()):
                self.known[entry['address']] = entry['request_id_prefix']


def test_repeated_sales_run_at_most_once_while_daemons_fail(play) -> None:
    """Guards against two deciders, and runs behind a "not run"."""

    async def scenario(world: World) -> None:
        random = Random(11)
        prefixes = _Prefixes(world)
        await prefixes.refresh()

        async def sell() -> None:
            decider, *others = random.sample(DAEMONS, 3)
            prefix = prefixes.known[world.address(decider)]
            name = f'{prefix}{world.suffix()}'
            pauses = [random.choice((0, 0, 0.02, 0.3, 2)) for _ in others]
            first = asyncio.create_task(world.send(_SALE, decider, name))
            for other, pause in zip(others, pauses, strict=True):
                await asyncio.sleep(pause)
                await world.send(_SALE, other, name)
            await first

        async with world.load((sell, 0.04), (prefixes.refresh, 1)):
            await asyncio.sleep(1)
            world.signal('north-b-0', signal.SIGSTOP)
            await world.set_server_faults('sale-north-a', silence=1)
            await asyncio.sleep(1)
            await world.kill('south-a-0')
            await asyncio.sleep(1)
            await world.restart('south-a-0')
            world.fleet.relays.silence(('north-a-0',))
            await asyncio.sleep(PAST_EVERY_LEASE_S - 2)
            world.signal('north-b-0', signal.SIGCONT)
            await world.set_server_faults('sale-south-b', silence=1)
            await asyncio.sleep(2)
        await world.wait_all()
        await _judge(world, least_served=100)

    play(scenario)


def test_repeated_sales_run_at_most_once_across_cut_links(play) -> None:
    """Guards the deciders' answers on links cut one way and both ways."""

    async def scenario(world: World) -> None:
        random = Random(12)
        prefixes = _Prefixes(world)
        await prefixes.refresh()
        world.sent.clear()

        async def sell() -> None:
            decider, first, second = random.sample(DAEMONS, 3)
            prefix = prefixes.known[world.address(decider)]
            name = f'{prefix}{world.suffix()}'
            await asyncio.gather(
                *(
                    world.send(_SALE, daemon, name)
                    for daemon in (first, second, decider)
                )
            )

        relays = world.fleet.relays
        async with world.load((sell, 0.04)):
            relays.block(['north-a-0'], ['south-a-0', 'south-b-0'])
            await asyncio.sleep(4)
            relays.isolate(['south-b-0'])
            await asyncio.sleep(4)
            relays.heal()
            await asyncio.sleep(1)
        await world.wait_all()
        await _judge(world, least_served=100)

    play(scenario)


async def _judge(world: World, least_served: int) -> None:
    records = await world.records('sale')
    outcomes = [sent.outcome for sent in world.sent]
    assert doubled_runs(records) == []
    assert false_not_run(outcomes, records) == []
    assert sum(outcome.is_served for outcome in outcomes) >= least_served
    for daemon in DAEMONS:
        name = f'{await world.prefix(daemon)}{world.suffix()}'
        outcome = await world.send(_SALE, daemon, name)
        assert outcome.is_served, outcome
