"""Guards the exchange of plans with the platform and with peers."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest
from attrs import evolve
from tests.daemon.steering.simulation import (
    FaultyPlatform,
    SimulatedEnvironment,
    run_without_waiting,
)
from tests.daemon.steering.test_collector import Links, Network

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.lookup.shares import initial_shares
from geraniumshelf_core.messages.steering import PlanAnnouncement, PlanContents
from geraniumshelf_core.plan.model import Plan, SourcePlan, encode_plan
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.platform.interface import Snapshot, StoredObject
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.plans import PlanService
from geraniumshelf_daemon.steering.region_failures import RegionFailureDetector


def _plan(revision: int) -> Plan:
    source = SourcePlan('a', initial_shares({'a': 1_000_000}))
    return Plan('s', revision, 'p', (source,))


def _exchange(
    environment: SimulatedEnvironment, network: Network, name: str
) -> PlanExchange:
    exchange = PlanExchange(
        PlanService(),
        Links(network, name),
        FaultyPlatform(environment),
        environment,
        lambda: environment.now,
    )
    exchange.register()
    return exchange


def test_plans_never_move_back() -> None:
    """A stale response of the platform must not undo a step."""
    plans = PlanService()
    assert plans.accept(_plan(2), 5, 9)
    assert not plans.accept(_plan(1), 6, 8)
    assert not plans.accept(_plan(2), 7)
    held = plans.held('s')
    assert (held.plan.revision, held.first_seen, held.stored_version) == (
        2,
        5,
        9,
    )
    assert plans.accept(_plan(4), 8)
    assert (held.first_seen, held.stored_version) == (8, None)
    assert plans.version == 2


def test_restarted_daemon_gets_plans_from_peers() -> None:
    """A daemon must receive plans from peers while the platform is down."""
    environment, network = SimulatedEnvironment(), Network()
    full = _exchange(environment, network, 'a')
    empty = _exchange(environment, network, 'b')
    full.plans.accept(_plan(3), 0)
    empty.peers.notify('a', PlanAnnouncement(()))
    asyncio.run(network.deliver())
    assert empty.plans.plan('s') == _plan(3)


def test_damaged_plans_are_left_out() -> None:
    """A malformed plan must not prevent the acceptance of the others."""
    environment, network = SimulatedEnvironment(), Network()
    exchange = _exchange(environment, network, 'a')
    exchange.adopt(StoredObject('plan/s', 1, b'noise'))
    contents = PlanContents((b'noise', encode_plan(_plan(1))))
    network.queue.append(('b', 'a', contents))
    asyncio.run(network.deliver())
    assert exchange.plans.plan('s') == _plan(1)


def test_watcher_lists_again_when_the_watch_is_too_old() -> None:
    """When a watch can't be continued, the plans must be listed again.

    Otherwise the plan of the daemon would become outdated.
    """
    plans = asyncio.run(_follow())
    assert plans.plan('s') == _plan(3)


async def _follow() -> PlanService:
    environment, network = SimulatedEnvironment(), Network()
    exchange = _exchange(environment, network, 'a')
    stored = [
        StoredObject('plan/s', number, encode_plan(_plan(number)))
        for number in (1, 2, 3)
    ]
    done = asyncio.Event()

    async def list_objects(prefix: str) -> Snapshot:
        return Snapshot(1, (stored.pop(0),))

    async def watch(prefix: str, after: int, wait: float) -> Snapshot:
        if len(stored) == 2:
            return Snapshot(2, (stored.pop(0),))
        if stored:
            raise PlatformError(ResultCode.WATCH_TOO_OLD, 'compacted')
        done.set()
        await asyncio.sleep(3600)
        raise AssertionError('the task was not cancelled')

    platform = SimpleNamespace(list_objects=list_objects, watch=watch)
    exchange = evolve(exchange, platform=platform)
    task = asyncio.create_task(exchange.run())
    await asyncio.wait_for(done.wait(), 30)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return exchange.plans


def test_region_fails_only_if_the_platform_agrees() -> None:
    """Two regions that lost contact must not take over each other's traffic.

    The platform still lists the instances of both.
    """
    environment = SimulatedEnvironment()
    platform = FaultyPlatform(environment)
    failures = RegionFailureDetector(environment, platform)
    environment.members = environment.members[1:]
    for seconds in (0, 9, 11):
        now = seconds * SECOND_NS
        run_without_waiting(failures.refresh(environment.configuration, now))
        assert failures.failed == frozenset()
    platform.listed = platform.listed[1:]
    run_without_waiting(
        failures.refresh(environment.configuration, 12 * SECOND_NS)
    )
    assert failures.failed == {'a'}
    platform.mode = 'down'
    with pytest.raises(PlatformError):
        run_without_waiting(
            failures.refresh(environment.configuration, 13 * SECOND_NS)
        )
    assert failures.failed == {'a'}
    environment.members = SimulatedEnvironment().members
    run_without_waiting(
        failures.refresh(environment.configuration, 14 * SECOND_NS)
    )
    assert failures.failed == frozenset()
