"""Tests of at-most-once execution and of "not run" answers during failures."""

import asyncio
import signal
from random import Random

import pytest
from tests.process.checkers import find_false_not_run, find_repeated_runs
from tests.process.deployment import DAEMONS
from tests.process.harness import FleetHarness

from geraniumshelf_standins.caller.client import Job

pytestmark = pytest.mark.process

# Longer than the longest loan term and than the silence after which a peer
# counts as down.
LEASE_EXPIRY_WAIT_S = 6.0
_SALE = Job('sale', 'POST', '/sales', b'{}', deadline_s=3)


class _IdPrefixes:
    """Request id prefixes by daemon address.

    The prefixes of daemons that do not answer are kept and used.
    """

    def __init__(self, harness: FleetHarness) -> None:
        self.by_address: dict[str, str] = {}
        self._harness = harness

    async def refresh(self) -> None:
        for daemon in DAEMONS:
            address = self._harness.caller_address(daemon)
            caller = self._harness.get_caller('steady', 'prefixes')
            try:
                content = await caller.lookup('sale', address)
            except (OSError, TimeoutError, ValueError):
                continue
            for entry in content.get('entries', ()):
                self.by_address[entry['address']] = entry['request_id_prefix']


def test_repeated_sales_run_at_most_once_while_daemons_fail(
    run_scenario,
) -> None:
    """A sale runs at most once while daemons fail and lose connections.

    Two daemons could both act as decider for a request id, or a daemon could
    answer "not run" for a request that runs elsewhere.
    """

    async def scenario(harness: FleetHarness) -> None:
        random = Random(11)
        prefixes = _IdPrefixes(harness)
        await prefixes.refresh()

        async def sell() -> None:
            decider, *others = random.sample(DAEMONS, 3)
            prefix = prefixes.by_address[harness.caller_address(decider)]
            request_id = f'{prefix}{harness.create_id_suffix()}'
            pauses = [random.choice((0, 0, 0.02, 0.3, 2)) for _ in others]
            first = asyncio.create_task(
                harness.send(_SALE, decider, request_id)
            )
            for other, pause in zip(others, pauses, strict=True):
                await asyncio.sleep(pause)
                await harness.send(_SALE, other, request_id)
            await first

        async with harness.background_load((sell, 0.04), (prefixes.refresh, 1)):
            await asyncio.sleep(1)
            harness.send_signal('north-b-0', signal.SIGSTOP)
            await harness.set_server_faults('sale-north-a', silence=1)
            await asyncio.sleep(1)
            await harness.kill('south-a-0')
            await asyncio.sleep(1)
            await harness.restart('south-a-0')
            harness.fleet.relays.silence(('north-a-0',))
            await asyncio.sleep(LEASE_EXPIRY_WAIT_S - 2)
            harness.send_signal('north-b-0', signal.SIGCONT)
            await harness.set_server_faults('sale-south-b', silence=1)
            await asyncio.sleep(2)
        await harness.wait_until_linked()
        await _check_runs(harness, min_served=100)

    run_scenario(scenario)


def test_repeated_sales_run_at_most_once_across_cut_links(run_scenario) -> None:
    """A sale runs at most once while links are blocked one way and both ways.

    The answer of the decider is then lost, while its grant may have arrived.
    """

    async def scenario(harness: FleetHarness) -> None:
        random = Random(12)
        prefixes = _IdPrefixes(harness)
        await prefixes.refresh()
        harness.sent.clear()

        async def sell() -> None:
            decider, first, second = random.sample(DAEMONS, 3)
            prefix = prefixes.by_address[harness.caller_address(decider)]
            request_id = f'{prefix}{harness.create_id_suffix()}'
            await asyncio.gather(
                *(
                    harness.send(_SALE, daemon, request_id)
                    for daemon in (first, second, decider)
                )
            )

        relays = harness.fleet.relays
        async with harness.background_load((sell, 0.04)):
            relays.block(['north-a-0'], ['south-a-0', 'south-b-0'])
            await asyncio.sleep(4)
            relays.isolate(['south-b-0'])
            await asyncio.sleep(4)
            relays.heal()
            await asyncio.sleep(1)
        await harness.wait_until_linked()
        await _check_runs(harness, min_served=100)

    run_scenario(scenario)


async def _check_runs(harness: FleetHarness, min_served: int) -> None:
    records = await harness.fetch_records('sale')
    outcomes = [sent.outcome for sent in harness.sent]
    assert find_repeated_runs(records) == []
    assert find_false_not_run(outcomes, records) == []
    assert sum(outcome.is_served for outcome in outcomes) >= min_served
    for daemon in DAEMONS:
        request_id = (
            f'{await harness.fetch_id_prefix(daemon)}'
            f'{harness.create_id_suffix()}'
        )
        outcome = await harness.send(_SALE, daemon, request_id)
        assert outcome.is_served, outcome
