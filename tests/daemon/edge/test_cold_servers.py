"""Tests how many requests daemons send to a server that has become cold."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from attrs import evolve
from tests.daemon.edge.fake_store import clock
from tests.daemon.edge.follower_harness import (
    FollowerDaemon,
    FollowerFleet,
    make_server,
    run_fleet,
    sleep_until,
)

from geraniumshelf_core.placement.cold_starts import record_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
)
from geraniumshelf_core.placement.queries import choose_server
from geraniumshelf_core.placement.state import PlacementRequest
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import RecordKind

_SEEDS = range(10)
_CUT_S = 5.0
_COLD_S = 8.0
_COLD_LIMIT = 12
# Each of three daemons, more than a cold server can handle.
_INTERVAL_S = 0.1


async def _send_requests(daemon: FollowerDaemon, sent: list[float]) -> None:
    """Send requests at a constant rate and record when they are sent."""
    placement = daemon.state.placement
    placement.cold_rate_per_share['desk'] = _COLD_LIMIT / 3
    while True:
        await asyncio.sleep(_INTERVAL_S)
        now = clock()
        choice = choose_server(placement, PlacementRequest('desk', 'o'), now)
        if choice is not None:
            begin_request(placement, choice.view)
            record_send(choice.view, now)
            sent.append(now / SECOND_NS)
            end_request(placement, choice.view, Outcome(work=1), now)


async def _record_sends(fleet: FollowerFleet, end_s: float) -> list[float]:
    sent: list[float] = []
    tasks = [
        asyncio.create_task(_send_requests(daemon, sent))
        for daemon in fleet.daemons.values()
    ]
    await sleep_until(end_s)
    for task in tasks:
        task.cancel()
    return sorted(sent)


def _max_per_second(sent: list[float]) -> int:
    return max(
        sum(begin <= at < begin + 1 for at in sent) for begin in (0, *sent)
    )


def _make_scenario(
    results: list[list[float]],
) -> Callable[[FollowerFleet], Awaitable[None]]:
    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_CUT_S)
        sending = asyncio.create_task(_record_sends(fleet, _COLD_S + 2))
        await sleep_until(_COLD_S)
        cold = evolve(make_server('s1'), cold_left=3 * SECOND_NS)
        fleet.store.put(RecordKind.SERVERS, 's1', cold)
        results.append(await sending)

    return scenario


@pytest.mark.parametrize('cut_daemons', [('n1',), ('n1', 'n2')])
def test_daemons_that_do_not_reach_the_store_flood_no_cold_server(
    cut_daemons: tuple[str, ...],
) -> None:
    """Guard against the full rate from daemons that miss a cold start.

    The store reports that a server has become cold only to the daemons that
    reach it.
    """
    cuts = {
        name: ((_CUT_S, _COLD_S + 10),) if name in cut_daemons else ()
        for name in ('n1', 'n2', 'n3')
    }
    for seed in _SEEDS:
        results: list[list[float]] = []
        run_fleet(cuts, seed, _make_scenario(results), servers=('s1',))
        sent = [at for at in results[0] if at >= _COLD_S + 0.1]
        assert _max_per_second(sent) <= _COLD_LIMIT, seed


def test_end_of_a_cut_confirms_no_list_that_lacks_changes() -> None:
    """Guard against the full rate between the end of a cut and the next list.

    The store responds to a probe, while the watch of the servers still waits
    for a response that the cut has swallowed.
    """
    # The watches that began just before the cut are given up after its end.
    begin_s, cold_s, end_s = 6.5, 7.0, 8.0

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(cold_s)
        cold = evolve(make_server('s1'), cold_left=10 * SECOND_NS)
        fleet.store.put(RecordKind.SERVERS, 's1', cold)
        await sleep_until(end_s)
        sent = await _record_sends(fleet, end_s + 5)
        assert _max_per_second(sent) <= _COLD_LIMIT / 3

    for seed in _SEEDS:
        run_fleet({'n1': ((begin_s, end_s),)}, seed, scenario, servers=('s1',))
