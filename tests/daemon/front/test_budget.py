"""Tests of the budget that callers share."""

import asyncio

from attrs import define, field

from geraniumshelf_daemon.front.budget import BudgetLimits, CallerBudget
from geraniumshelf_daemon.front.holdings import Holding

_MIB = 1048576


@define(eq=False)
class _Connection:
    """A connection that records whether it was closed."""

    waits_s: float | None = 1
    reason: str = ''
    is_closed: bool = False
    opened_at: float = field(factory=lambda: asyncio.get_running_loop().time())

    def find_reason(self, now: float) -> str:
        return self.reason

    def waited_since(self) -> float | None:
        return None if self.waits_s is None else self.opened_at - self.waits_s

    def close_now(self) -> None:
        self.is_closed = True


def _open(
    budget: CallerBudget, connection: _Connection, size: int = 0
) -> Holding:
    holding = budget.open(connection, '10.0.0.1')
    budget.charge(holding, size)
    return holding


def test_largest_waiting_connection_is_closed_if_memory_is_short() -> None:
    """Guards against a budget that ends the requests of ordinary callers."""

    async def scenario() -> None:
        budget = CallerBudget(BudgetLimits(max_bytes=4 * _MIB))
        small, large = _Connection(), _Connection()
        served = _Connection(waits_s=None)
        _open(budget, small)
        _open(budget, served, 2 * _MIB)
        _open(budget, large, _MIB)
        _open(budget, _Connection(), _MIB)
        assert large.is_closed
        assert not small.is_closed
        assert not served.is_closed

    asyncio.run(scenario())


def test_connection_that_makes_progress_is_spared() -> None:
    """Guards against a large upload that ends because others stand still."""

    async def scenario() -> None:
        budget = CallerBudget(BudgetLimits(max_bytes=3 * _MIB))
        moving, standing = _Connection(waits_s=2), _Connection()
        holding = _open(budget, moving, _MIB)
        budget.charge_stream(holding, 0, moved=_MIB)
        _open(budget, standing, _MIB)
        _open(budget, _Connection(waits_s=0), _MIB)
        assert standing.is_closed
        assert not moving.is_closed

    asyncio.run(scenario())


def test_longest_waiting_connection_is_closed_if_descriptors_are_short() -> (
    None
):
    """Guards against new callers that are refused for the sake of idle ones."""

    async def scenario() -> None:
        budget = CallerBudget(BudgetLimits(max_descriptors=2))
        idle, recent, new = _Connection(9), _Connection(1), _Connection(0)
        for connection in (recent, idle, new):
            _open(budget, connection)
        assert idle.is_closed
        assert not recent.is_closed
        assert not new.is_closed

    asyncio.run(scenario())


def test_released_amounts_are_available_again() -> None:
    """Guards against a budget that shrinks with each request."""

    async def scenario() -> None:
        budget = CallerBudget(BudgetLimits(2 * _MIB, 3))
        connection = _Connection()
        holding = _open(budget, connection)
        for _ in range(9):
            budget.charge(holding, _MIB, descriptors=2)
            budget.charge(holding, -_MIB, descriptors=-2)
        for _ in range(9):
            budget.close(_open(budget, _Connection(), _MIB))
        assert not connection.is_closed

    asyncio.run(scenario())


def test_nothing_is_closed_without_limits() -> None:
    """Guards against bounds in deployments whose settings name none."""

    async def scenario() -> None:
        budget = CallerBudget()
        connection = _Connection(waits_s=99, reason='head')
        _open(budget, connection, 999 * _MIB)
        task = asyncio.create_task(budget.run())
        await asyncio.sleep(0.6)
        task.cancel()
        assert not connection.is_closed

    asyncio.run(scenario())
