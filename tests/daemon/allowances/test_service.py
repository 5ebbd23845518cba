"""Tests admission by several daemons with lost messages and partitions."""

import asyncio
import copy
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from tools.trial.allowance_fleet import AllowanceFleet, build_configuration

from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
)
from geraniumshelf_core.errors import PeerError, RequestRefused, ResultCode
from geraniumshelf_core.messages.allowance import (
    LoanGrant,
    LoanRequest,
    LoanReturn,
    TokenRequest,
    TokenSettled,
)
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.allowances.message_checks import check_grant
from geraniumshelf_standins.virtual_time import VirtualTimeLoop

RATE = 20
BURST = 18


def run_fleet(scenario: Callable[[AllowanceFleet], Awaitable[None]]) -> None:
    async def started() -> None:
        settings = build_configuration({'vendor': (RATE, BURST)})
        fleet = AllowanceFleet(settings, 7)
        runs = [
            asyncio.create_task(service.run())
            for service in fleet.services.values()
        ]
        await asyncio.sleep(10)
        await scenario(fleet)
        for run in (*runs, *fleet.links.tasks):
            run.cancel()
        await asyncio.gather(*runs, *fleet.links.tasks, return_exceptions=True)

    loop = VirtualTimeLoop()
    loop.run_until_complete(started())
    loop.close()


async def _send_flood(
    fleet: AllowanceFleet, daemon_name: str, count: int
) -> list[int]:
    """Send requests at once and return the times of their admissions."""

    async def send_request() -> int | None:
        try:
            await fleet.services[daemon_name].acquire(
                'vendor', fleet.clock() + 4 * SECOND_NS
            )
        except RequestRefused as refusal:
            assert refusal.code is ResultCode.RATE_EXCEEDED
            assert (refusal.retry_after_s or 0) >= 1
            return None
        return fleet.clock()

    times = await asyncio.gather(*(send_request() for _ in range(count)))
    return sorted(time for time in times if time is not None)


def _assert_within_limit(times: list[int]) -> None:
    times.sort()
    for index, start in enumerate(times):
        for count, time in enumerate(times[index:], 1):
            assert count * SECOND_NS <= RATE * (time - start) + (
                BURST * SECOND_NS
            )


@pytest.mark.parametrize(
    'message',
    [
        LoanRequest(('a',), ()),  # type: ignore[arg-type]
        LoanRequest((), ((1,),)),  # type: ignore[arg-type]
        LoanReturn(((1, 0), (1, -1))),
        LoanReturn(((1, 0), 1)),  # type: ignore[arg-type]
        TokenRequest(1, 1, 0, 0, ((1, 1, 1),)),  # type: ignore[arg-type]
        TokenRequest(1, -1, 0, 0, ((1, 1),)),
        TokenSettled(((1, None),)),  # type: ignore[arg-type]
        LoanGrant((), ((1, 1),), ()),  # type: ignore[arg-type]
        LoanGrant((1,), (), ((1, 2, -3, 4, 5),)),
    ],
)
def test_malformed_rows_change_nothing(message: Any) -> None:
    """A row of a wrong shape must be refused before any row is applied."""

    async def scenario(fleet: AllowanceFleet) -> None:
        target, sender = fleet.names[:2]
        if isinstance(message, LoanGrant):
            with pytest.raises(PeerError, match='row'):
                check_grant(message)
            return
        ledger = fleet.services[target]._limits.ledger
        before = copy.deepcopy(ledger.limits)
        handler = fleet.links.networks[target]._handlers[type(message)]
        with pytest.raises(PeerError) as failure:
            await handler(sender, message)
        assert failure.value.code is ResultCode.PEER_FRAME_MALFORMED
        assert ledger.limits == before

    run_fleet(scenario)


def test_one_daemon_gets_the_whole_burst() -> None:
    """A burst at one daemon must be admitted whole.

    Splitting the bucket equally among daemons would refuse most of it.
    """

    async def scenario(fleet: AllowanceFleet) -> None:
        for daemon_name in fleet.names:
            times = await _send_flood(fleet, daemon_name, BURST - 1)
            assert len(times) == BURST - 1
            await asyncio.sleep(5)

    run_fleet(scenario)


@pytest.mark.parametrize('loss', [0, 0.1, 0.5])
def test_flood_with_losses_stays_within_the_bound(loss: float) -> None:
    """Lost messages and retries must never create tokens."""

    async def scenario(fleet: AllowanceFleet) -> None:
        fleet.links.loss_fraction = loss
        times: list[int] = []
        for _ in range(60):
            for daemon_name in fleet.names:
                times += await _send_flood(fleet, daemon_name, 3)
            await asyncio.sleep(0.1)
        _assert_within_limit(times)
        assert len(times) > BURST

    run_fleet(scenario)


def test_cut_off_daemon_regains_its_floor() -> None:
    """A daemon without links must serve with its floor, not refuse all."""

    async def scenario(fleet: AllowanceFleet) -> None:
        daemon_name = fleet.names[0]
        fleet.links.isolated.add(daemon_name)
        await asyncio.sleep(6)
        times = await _send_flood(fleet, daemon_name, BURST)
        assert len(times) == BURST // len(fleet.names)
        times += await _send_flood(fleet, fleet.names[1], BURST)
        assert len(times) >= BURST - BURST // len(fleet.names) - 1
        _assert_within_limit(times)

    run_fleet(scenario)


def test_lowered_limit_holds_after_one_term() -> None:
    """After a limit was lowered, a loan must not be renewed at its old size."""

    async def scenario(fleet: AllowanceFleet) -> None:
        fleet.source.configuration = Configuration(
            'trial',
            zones=fleet.source.configuration.zones,
            accounts=(ClientAccount('vendor', 9, 9),),
        )
        fleet.source.revision = fleet.members.revision = 2
        await asyncio.sleep(6)
        times = await _send_flood(fleet, fleet.names[0], 30)
        assert 1 <= len(times) <= 9 + 1
        await asyncio.sleep(10)
        times = await _send_flood(fleet, fleet.names[0], 30)
        assert 8 <= len(times) <= 9 + 1

    run_fleet(scenario)


def test_owner_change_hands_floors_over() -> None:
    """The floors lent to a former owner must be lent to the next owner."""

    async def scenario(fleet: AllowanceFleet) -> None:
        for lost_daemon in fleet.names[:4]:
            for slot, holder in list(fleet.members.holders.items()):
                if holder == lost_daemon:
                    fleet.members.holders.pop(slot)
            fleet.links.isolated.add(lost_daemon)
            await asyncio.sleep(10)
        times = await _send_flood(fleet, fleet.names[-1], BURST)
        assert len(times) >= BURST * 5 // 9 - 1
        _assert_within_limit(times)

    run_fleet(scenario)
