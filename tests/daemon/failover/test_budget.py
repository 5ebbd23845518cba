"""Guards the failover allowance in every sliding window."""

import asyncio
from random import Random
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.configuration.model import (
    BackendServer,
    Configuration,
    Zone,
)
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.lookup.shares import initial_shares
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS
from geraniumshelf_daemon.failover.budget import FailoverBudget
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher, DispatchRequest

_WINDOW_NS = 10 * SECOND_NS


def _budget(ppm: int) -> FailoverBudget:
    source = SourcePlan('a', initial_shares({'a': 1_000_000}), (('b', ppm),))
    plan = Plan('s', 1, 'p', (source,))
    return FailoverBudget(SimpleNamespace(plan=lambda service: plan), 'a')


def _try_spill(budget: FailoverBudget, now: int) -> bool:
    if budget.rank_regions('s', now) != ('b',):
        return False
    budget.record_spill('s', 'b', now)
    return True


@given(
    st.lists(
        st.tuples(
            st.one_of(st.integers(0, 200), st.integers(0, 11_000)),
            st.integers(0, 30),
            st.integers(0, 30),
        ),
        max_size=40,
    ),
    st.integers(10_000, 1_000_000),
)
def test_no_span_exceeds_the_allowance(steps, ppm: int) -> None:
    """Adjacent fixed windows would allow up to twice the allowance."""
    budget, now = _budget(ppm), 0
    arrivals: list[int] = []
    sent: list[int] = []
    for wait_ms, arrival_count, attempts in steps:
        now += wait_ms * MILLISECOND_NS
        for _ in range(arrival_count):
            budget.record_arrival('s', now)
        arrivals += [now] * arrival_count
        sent += [now for _ in range(attempts) if _try_spill(budget, now)]
        recent = sum(now - time <= _WINDOW_NS for time in arrivals)
        recent_spills = sum(now - time < _WINDOW_NS for time in sent)
        if sent and sent[-1] == now:
            assert recent_spills <= -(-recent * ppm // 1_000_000)


def test_allowance_can_be_used() -> None:
    """A budget that allows too little would refuse requests for no reason."""
    budget, sent = _budget(100_000), 0
    for number in range(6000):
        now = number * 10 * MILLISECOND_NS
        budget.record_arrival('s', now)
        sent += _try_spill(budget, now)
    assert 0.9 * 600 <= sent <= 600 + 10


def test_requests_spill_at_once_when_all_home_servers_fail() -> None:
    """Failed servers must neither prevent spilling nor exceed the allowance."""
    now = 0
    dispatcher = Dispatcher(
        Place('a1', 'a'), _budget(200_000), lambda: now, Random(1)
    )
    dispatcher.apply(
        Configuration(
            'd',
            zones=(Zone('a1', 'a', 1), Zone('b1', 'b', 1)),
            servers=tuple(
                BackendServer(f'{zone}{n}', 's', zone, f'{zone}{n}', 9, 9)
                for zone in ('a1', 'b1')
                for n in range(3)
            ),
        )
    )
    sent: list[int] = []
    for number in range(3000):
        now = number * 10 * MILLISECOND_NS
        server = asyncio.run(
            dispatcher.reserve(DispatchRequest('s', '', False, now))
        )
        dispatcher.release(server, is_failure=server.region == 'a')
        if server.region == 'b':
            sent.append(now)
        recent = sum(now - time < _WINDOW_NS for time in sent)
        assert recent <= 0.2 * min(number + 1, 1001) + 1
    assert sent[0] < SECOND_NS
    assert len(sent) > 0.18 * 3000
