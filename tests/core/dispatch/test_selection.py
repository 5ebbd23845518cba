"""Tests of the selection of backend servers."""

from random import Random

from hypothesis import example, given
from hypothesis import strategies as st

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.dispatch.commands import (
    begin_request,
    earn_retries,
    end_request,
    record_report,
    replace_servers,
    set_drained_zones,
    spend_retry,
)
from geraniumshelf_core.dispatch.queries import (
    ServerQuery,
    all_slots,
    choose_server,
    in_flight_limit,
    takes_work,
)
from geraniumshelf_core.dispatch.state import (
    DispatchState,
    Place,
    RetryBudget,
)
from geraniumshelf_core.units import SECOND_NS

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}


def _server(number: int, zone: str, slots: int = 3) -> BackendServer:
    name = f's{number}'
    return BackendServer(name, 'desk', zone, f'10.0.0.{number}:1', slots, 9)


def _state(zones: list[str]) -> DispatchState:
    state = DispatchState(Place('a1', 'a'))
    servers = [_server(number, zone) for number, zone in enumerate(zones)]
    replace_servers(state, servers, _REGIONS, 0)
    return state


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(['begin', 'good', 'bad', 'leave', 'stay', 'wait']),
        st.integers(0, 7),
    ),
    max_size=60,
)


@given(
    st.lists(st.sampled_from(['a1', 'a2', 'b1']), min_size=1, max_size=8),
    _STEPS,
    st.booleans(),
    st.integers(0, 99),
)
def test_selection_keeps_its_bounds(
    zones: list[str],
    steps: list[tuple[str, int]],
    may_leave_region: bool,
    seed: int,
) -> None:
    """The limits of slots, region and ejection hold after any history.

    Servers that are leaving get no requests.
    """
    state, now, random = _state(zones), 0, Random(seed)
    query = ServerQuery('desk', ('b',) if may_leave_region else ())
    for step, number in steps:
        server = state.servers[f's{number % len(zones)}']
        match step:
            case 'begin':
                chosen = choose_server(state, query, all_slots, random, now)
                if chosen is not None:
                    assert not chosen.is_leaving
                    assert chosen.ejected_until <= now
                    assert chosen.region == 'a' or may_leave_region
                    begin_request(chosen)
            case 'good' | 'bad':
                if server.in_flight:
                    end_request(state, server, step == 'bad', now)
            case 'leave' | 'stay':
                record_report(server, 2, step == 'leave', now)
            case _:
                now += SECOND_NS
        for region in 'ab':
            in_region = [
                s for s in state.servers.values() if s.region == region
            ]
            ejected = sum(s.ejected_until > now for s in in_region)
            assert ejected * 3 <= len(in_region)
        assert all(0 <= s.in_flight <= 3 for s in state.servers.values())


def test_nearest_place_is_filled_first() -> None:
    """Unnecessary traffic between zones adds cost and latency."""
    state, random = _state(['a1', 'a2', 'b1']), Random(1)
    query = ServerQuery('desk', ('b',))
    order = []
    while (
        chosen := choose_server(state, query, all_slots, random, 0)
    ) is not None:
        begin_request(chosen)
        order.append(chosen.server.zone)
    assert order == ['a1'] * 3 + ['a2'] * 3 + ['b1'] * 3


def test_less_loaded_server_gets_more_and_old_reports_fade() -> None:
    """An outdated report must not keep requests away from a server."""
    state, random = _state(['a1', 'a1']), Random(1)
    record_report(state.servers['s0'], 3, False, 0)

    def count_picks(now: int) -> int:
        picks = [
            choose_server(state, ServerQuery('desk'), all_slots, random, now)
            for _ in range(100)
        ]
        return sum(p is state.servers['s0'] for p in picks if p)

    assert count_picks(0) == 0
    assert count_picks(20 * SECOND_NS) > 20


@given(st.integers(1, 50), st.integers(0, 20 * SECOND_NS))
def test_new_server_starts_slowly(slots: int, age: int) -> None:
    """A cold server that gets its full share at once fails under the load."""
    state = _state(['a1'])
    servers = [_server(0, 'a1'), _server(1, 'a1', slots)]
    replace_servers(state, servers, _REGIONS, 5)
    new, old = state.servers['s1'], state.servers['s0']
    limit = in_flight_limit(new, all_slots, 5 + age)
    ramp = min(1, max(0.1, age / (10 * SECOND_NS)))
    assert max(1, slots * ramp - 1) <= limit <= max(1, slots * ramp)
    assert in_flight_limit(old, all_slots, 5) == 3


@given(st.lists(st.booleans(), max_size=500))
def test_retries_stay_within_the_budget(steps: list[bool]) -> None:
    """Unlimited retries would overload a service that is already slow."""
    budget, requests, retries = RetryBudget(), 0, 0
    for is_request in steps:
        if is_request:
            requests += 1
            earn_retries(budget)
        else:
            retries += spend_retry(budget)
        assert retries <= 3 + requests / 10


@example([('leave', 0), ('leave', 1), ('leave', 2), ('bad', 3)], 2)
@example([('drain', 1), ('bad', 1), ('bad', 3)], 3)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['bad', 'leave', 'stay', 'drain', 'wait']),
            st.integers(0, 7),
        ),
        max_size=60,
    ),
    st.integers(1, 8),
)
def test_ejection_leaves_servers_that_take_work(steps, count: int) -> None:
    """Leaving or drained servers must not count as available in ejections."""
    state, now = _state(['a1', 'a2'] * count), 0
    for step, number in steps:
        server = state.servers[f's{number % len(state.servers)}']
        match step:
            case 'bad':
                for _ in range(3):
                    begin_request(server)
                    if end_request(state, server, True, now):
                        working = list(
                            filter(takes_work, state.servers.values())
                        )
                        ejected = sum(s.ejected_until > now for s in working)
                        assert ejected * 3 <= max(3, len(working))
                        assert any(s.ejected_until <= now for s in working)
            case 'leave' | 'stay':
                record_report(server, 2, step == 'leave', now)
            case 'drain':
                before = [s for s in state.servers.values() if s.is_drained]
                zones = {'a1'} if number % 2 else ()
                set_drained_zones(state, 'desk', zones, now)
                returned = [s for s in before if not s.is_drained]
                assert all(s.slow_start_at == now for s in returned)
                in_open_zone = [
                    s
                    for s in state.servers.values()
                    if s.server.zone == 'a2' and not s.is_leaving
                ]
                drained = [s for s in state.servers.values() if s.is_drained]
                assert bool(drained) == bool(number % 2 and in_open_zone)
            case _:
                now += SECOND_NS
