"""Tests of the pace of servers that have just started or recovered."""

import pytest
from attrs import evolve
from tests.core.placement.harness import (
    NOW,
    WORK,
    chosen,
    make_state,
    serve,
    server,
)
from tests.core.placement.paced_service import COLD_TIME

from geraniumshelf_core.placement.cold_starts import is_cold, record_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
    record_report,
    set_evacuated,
)
from geraniumshelf_core.placement.paces import Pace, PaceCause
from geraniumshelf_core.placement.pacing import (
    has_room,
    is_paced,
    open_servers,
    start_pace,
)
from geraniumshelf_core.placement.queries import choose_server
from geraniumshelf_core.placement.state import (
    PlacementRequest,
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_OFF = Policies(paces_servers=False)


def _make_state(names: str = 's1 s2 s3') -> PlacementState:
    state = make_state(dict.fromkeys(names.split(), 'a1'), 3)
    state.typical_work_times['desk'] = TypicalWork(WORK, WORK)
    state.cold_rate_per_share['desk'] = 4
    state.region_entries = 4
    return state


def _pace(
    state: PlacementState, rate: float = 8, in_flight: float = 4
) -> tuple[ServerView, Pace]:
    view = state.servers['s1']
    view.pace = Pace(PaceCause.COLD, rate, in_flight, NOW)
    return view, view.pace


def _end(
    state: PlacementState, view: ServerView, outcome: Outcome, now: int = NOW
) -> None:
    begin_request(state, view)
    end_request(state, view, outcome, now)


def test_response_in_time_raises_the_pace() -> None:
    """Guard against a server that stays idle although it responds in time."""
    state = _make_state()
    view, pace = _pace(state)
    view.cold_until = NOW + SECOND_NS
    for _ in range(5):
        record_send(view, NOW)
    _end(state, view, Outcome(work=WORK, object_name='x'))
    assert (pace.in_flight, pace.rate) == (4.25, 9)


def test_rate_does_not_grow_beyond_what_was_used() -> None:
    """Guard against a rate that no response has shown to be possible."""
    state = _make_state()
    view, pace = _pace(state)
    view.cold_until = NOW + SECOND_NS
    serve(state, view, 'x', NOW)
    assert (pace.in_flight, pace.rate) == (4.25, 8)


@pytest.mark.parametrize(
    'outcome',
    [
        Outcome(is_shed=True),
        Outcome(is_failure=True),
        Outcome(work=10 * WORK, object_name='x'),
    ],
    ids=['full', 'failed', 'late'],
)
def test_overload_halves_the_pace_once_in_an_interval(outcome: Outcome) -> None:
    """Guard against a pace that collapses when requests fail together."""
    state = _make_state('s1 s2')
    view, pace = _pace(state, 3, 3)
    for _ in range(2):
        _end(state, view, outcome, NOW + 1)
        assert (pace.in_flight, pace.rate) == (1.5, 1.5)
    _end(state, view, outcome, NOW + SECOND_NS)
    assert (pace.in_flight, pace.rate) == (1, 1)


@pytest.mark.parametrize(
    'outcome',
    [
        Outcome(is_partial=True),
        Outcome(),
        Outcome(work=WORK * 9 // 5, object_name='x'),
    ],
    ids=['partial', 'not sent', 'between in time and late'],
)
def test_neutral_outcome_leaves_the_pace(outcome: Outcome) -> None:
    """Guard against a pace that follows rejections without overload."""
    state = _make_state()
    view, pace = _pace(state)
    _end(state, view, outcome)
    assert (pace.in_flight, pace.rate) == (4, 8)
    assert view.pace is pace


def test_cold_start_that_the_entry_ends_early_stays_paced() -> None:
    """Guard against the full rate at a server whose entry changes early.

    The limit of cold servers holds until the announced end, and the pace ends
    only afterwards.
    """
    state = _make_state()
    listed = evolve(server('s1', 'a1', 3), started_at_ms=5)
    put_server(state, evolve(listed, cold_left=2 * SECOND_NS), NOW)
    put_server(state, listed, NOW + SECOND_NS)
    view = state.servers['s1']
    for number in range(3):
        serve(state, view, 'x', NOW + SECOND_NS + number)
    assert is_cold(view, NOW + SECOND_NS)
    assert is_paced(view, NOW + SECOND_NS)
    serve(state, view, 'x', NOW + 2 * SECOND_NS)
    assert not is_paced(view, NOW + 2 * SECOND_NS)


def test_later_entry_of_a_cold_server_does_not_restart_its_pace() -> None:
    """Guard against a server that each heartbeat returns to the first pace."""
    state = _make_state()
    listed = evolve(server('s1', 'a1', 3), cold_left=2 * SECOND_NS)
    put_server(state, listed, NOW)
    pace = state.servers['s1'].pace
    put_server(state, evolve(listed, cold_left=SECOND_NS), NOW + SECOND_NS)
    assert state.servers['s1'].pace is pace is not None


def test_quiet_service_ends_the_pace_with_the_first_response() -> None:
    """Guard against requests that pass over a server without any load."""
    state = _make_state()
    home = state.servers[chosen(state, 'x')]
    home.ejected_until = NOW
    start_pace(state, home, PaceCause.EJECTED, NOW)
    assert chosen(state, 'x', NOW) == home.server.name
    serve(state, home, 'x', NOW + WORK)
    assert not is_paced(home, NOW + WORK)


def test_rate_keeps_no_request_from_an_idle_server() -> None:
    """Guard against requests that pass over a server without any load."""
    state = _make_state()
    view, _ = _pace(state, rate=1, in_flight=2)
    record_send(view, NOW)
    assert has_room(view, NOW)
    begin_request(state, view)
    assert not has_room(view, NOW)
    end_request(state, view, Outcome(is_failure=True), NOW)
    assert not has_room(view, NOW)


def test_pace_without_requests_ends() -> None:
    """Guard against servers that are reported as paced for ever."""
    state = _make_state()
    view, _ = _pace(state, rate=1, in_flight=1)
    assert is_paced(view, NOW + 10 * SECOND_NS)
    assert not is_paced(view, NOW + 11 * SECOND_NS)


def test_server_without_room_remains_the_home_of_its_objects() -> None:
    """Guard against a cold server that is taken for warm.

    Its expected time would be too short, and objects would spread.
    """
    state = _make_state()
    state.typical_work_times['desk'] = TypicalWork(WORK, 3 * WORK)
    home = state.servers[chosen(state, 'x')]
    home.pace = Pace(PaceCause.COLD, 1, 1, NOW)
    begin_request(state, home)
    candidate = choose_server(state, PlacementRequest('desk', 'x'), NOW)
    assert candidate is not None
    assert candidate.view is not home
    assert candidate.expected_work == 3 * WORK


def test_home_exceeds_its_pace_while_others_have_no_free_slot() -> None:
    """Guard against objects that spread over servers that are all busy."""
    state = _make_state()
    home, *others = state.servers.values()
    home.pace = Pace(PaceCause.COLD, 1, 1, NOW)
    begin_request(state, home)
    assert open_servers([home, *others], NOW) == others
    for other in others:
        record_report(other, 3, 4, NOW)
    assert home in open_servers([home, *others], NOW)
    for _ in range(2):
        begin_request(state, home)
    assert open_servers([home, *others], NOW) == others


def test_pace_refuses_no_request() -> None:
    """Guard against refusals while all servers of a service are paced."""
    state = _make_state()
    for view in state.servers.values():
        view.pace = Pace(PaceCause.COLD, 1, 1, NOW)
        for _ in range(3):
            begin_request(state, view)
    assert choose_server(state, PlacementRequest('desk', 'x'), NOW)


def test_start_return_and_recovery_begin_a_pace() -> None:
    """Guard against a start or recovery that gets the full rate at once."""
    state = _make_state('s1 s2 s3 s4 s6')
    assert not any(is_paced(view, NOW) for view in state.servers.values())
    put_server(state, server('s5', 'a2', 3), NOW, cold_time=COLD_TIME)
    set_evacuated(state, frozenset({'a1'}), NOW, COLD_TIME)
    assert is_paced(state.servers['s5'], NOW)
    assert not is_paced(state.servers['s1'], NOW)
    set_evacuated(state, frozenset(), NOW, COLD_TIME)
    assert is_paced(state.servers['s1'], NOW)
    later = NOW + 60 * SECOND_NS
    unreachable = state.servers['s2']
    _end(
        state,
        unreachable,
        Outcome(is_failure=True, is_unreachable=True),
        later,
    )
    failing = state.servers['s3']
    for _ in range(3):
        _end(state, failing, Outcome(is_failure=True), later)
    for view in (unreachable, failing):
        assert view.pace is not None
        assert view.pace.cause is PaceCause.EJECTED
        assert is_paced(view, view.ejected_until)
        assert view.pace.in_flight == 1


def test_response_during_an_ejection_does_not_raise_the_pace() -> None:
    """Guard against responses to requests from before the failures."""
    state = _make_state()
    view, pace = _pace(state)
    view.ejected_until = NOW + 300 * MILLISECOND_NS
    _end(state, view, Outcome(work=WORK, object_name='x'))
    assert (pace.in_flight, pace.rate) == (4, 8)


def test_disabled_policy_paces_no_server() -> None:
    """Guard against a policy that cannot be disabled."""
    state = _make_state()
    state.policies = _OFF
    put_server(state, server('s4', 'a2', 3), NOW, cold_time=COLD_TIME)
    assert not is_paced(state.servers['s4'], NOW)
