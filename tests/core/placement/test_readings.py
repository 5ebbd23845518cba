"""Tests of the speeds that servers report and of shared readings."""

from typing import Any

import pytest
from tests.core.placement.harness import (
    NOW,
    WORK,
    chosen,
    make_state,
    serve,
)

from geraniumshelf_core.placement.cold_starts import record_send, reserved_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    record_report,
)
from geraniumshelf_core.placement.estimates import (
    estimated_load,
    slowness,
    speed_factor,
    typical_work,
)
from geraniumshelf_core.placement.queries import choose_server
from geraniumshelf_core.placement.readings import (
    MAX_READINGS,
    Reading,
    ServerReadings,
    learn_readings,
    make_readings,
    travel_time,
)
from geraniumshelf_core.placement.speeds import (
    record_speed,
    reports_speeds,
    usual_work,
)
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
    TypicalWork,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_TRAVEL_NS = 5 * MILLISECOND_NS


def _message(
    running: int = 1, waiting: int = 0, per_cent: Any = 100, age_ms: int = 0
) -> ServerReadings:
    return ServerReadings('n2', ('s1',), (running, waiting, per_cent, age_ms))


def _learn(
    state: PlacementState, message: ServerReadings, now: int = NOW
) -> int:
    return learn_readings(state, message, _TRAVEL_NS, now)


def _candidate(state: PlacementState, now: int) -> Candidate:
    candidate = choose_server(state, PlacementRequest('desk', 'x'), now)
    assert candidate is not None
    return candidate


def test_slow_server_is_passed_over_only_while_its_reading_is_new() -> None:
    """Guard against requests that wait 2.5 times as long at a slow server.

    A reading that outlives the slow phase would keep objects off their home.
    """
    state = make_state({'s1': 'a1', 's2': 'a1'})
    state.typical_work_times['desk'] = TypicalWork(WORK, 3 * WORK)
    home = state.servers[chosen(state, 'x')]
    (second,) = (view for view in state.servers.values() if view is not home)
    serve(state, second, 'x', NOW)
    assert chosen(state, 'x') == home.server.name
    record_speed(state, home, 2.5, NOW)
    assert chosen(state, 'x') == second.server.name
    assert chosen(state, 'x', NOW + 600 * MILLISECOND_NS) == home.server.name


def test_weight_of_a_speed_falls_with_its_age() -> None:
    """A reading of full weight until its end would be wrong half the time."""
    state = make_state({'s1': 'a1'})
    view = state.servers['s1']
    assert speed_factor(view, NOW) == 1
    record_speed(state, view, 2.5, NOW)
    assert speed_factor(view, NOW) == 2.5
    middle = speed_factor(view, NOW + 300 * MILLISECOND_NS)
    assert middle == pytest.approx(1.75)
    assert speed_factor(view, NOW + 600 * MILLISECOND_NS) == 1


def test_known_slow_phase_does_not_count_as_slowness() -> None:
    """A slow phase that counts twice would keep requests off for seconds."""
    state = make_state({'s1': 'a1'})
    state.typical_work_times['desk'] = TypicalWork(WORK, 3 * WORK)
    view = state.servers['s1']
    for step in range(20):
        now = NOW + step * SECOND_NS
        record_speed(state, view, 2.5, now)
        candidate = _candidate(state, now)
        work = usual_work(candidate, round(2.5 * WORK), now)
        begin_request(state, view)
        end_request(state, view, Outcome(work=work, object_name='x'), now)
    assert slowness(view, now) == pytest.approx(1)
    assert typical_work(state, 'desk').warm == pytest.approx(WORK)
    assert typical_work(state, 'desk').cold == pytest.approx(3 * WORK)


@pytest.mark.parametrize(
    ('before', 'after', 'measured', 'usual'),
    [
        (1, 1, 2.5, 2.5),
        (2.5, 1, 2.5, 1),
        (1, 2.5, 2.5, 1),
        (1, 2.5, 1, 1),
        (2.5, 2.5, 5, 2),
        (1, 2.5, 5, 2),
    ],
)
def test_work_is_compared_with_the_speeds_at_its_begin_and_end(
    before: float, after: float, measured: float, usual: float
) -> None:
    """A change of speed must not be taken for a slow or fast server."""
    state = make_state({'s1': 'a1'})
    state.typical_work_times['desk'] = TypicalWork(WORK, 3 * WORK)
    view = state.servers['s1']
    record_speed(state, view, before, NOW)
    candidate = _candidate(state, NOW)
    later = NOW + SECOND_NS
    record_speed(state, view, after, later)
    found = usual_work(candidate, round(measured * WORK), later)
    assert found == pytest.approx(usual * WORK)


def test_own_requests_are_not_counted_again() -> None:
    """A reading counts the requests of its receiver, which knows them."""
    state = make_state({'s1': 'a1'}, slots=4)
    view = state.servers['s1']
    for _ in range(2):
        begin_request(state, view)
        record_send(view, NOW)
    now = NOW + 100 * MILLISECOND_NS
    assert _learn(state, _message(running=3, waiting=1), now) == 1
    assert view.other_requests == 2
    assert estimated_load(view, now) == pytest.approx(4, abs=0.05)


def test_requests_after_a_reading_do_not_hide_those_of_others() -> None:
    """Daemons that send at the same time would each take the server as idle.

    Only requests that the server had when it reported are part of its load.
    """
    state = make_state({'s1': 'a1'}, slots=4)
    view = state.servers['s1']
    begin_request(state, view)
    record_send(view, NOW)
    begin_request(state, view)
    with reserved_send(view):
        _learn(state, _message(running=3, age_ms=50))
        assert view.other_requests == 3


def test_older_reading_is_ignored() -> None:
    """A late datagram must not replace what is known by then."""
    state = make_state({'s1': 'a1'})
    view = state.servers['s1']
    record_report(view, running=0, waiting=0, now=NOW)
    record_speed(state, view, 1, NOW)
    _learn(state, _message(2, 9, 250), NOW + MILLISECOND_NS)
    assert (view.other_requests, view.speed) == (0, 1)
    _learn(state, _message(2, 9, 250), NOW + 2 * _TRAVEL_NS)
    assert (view.other_requests, view.speed) == (11, 2.5)
    assert view.speed_at == NOW + _TRAVEL_NS


@pytest.mark.parametrize(
    'message',
    [
        ServerReadings('n2', ('s1',), (1, 0, 100)),
        ServerReadings('n2', ('s1', 's2'), (1, 0, 100, 0)),
        _message(per_cent='100'),
        _message(running=-1),
        _message(waiting=10**30),
        _message(per_cent=0),
        _message(per_cent=10**400),
        _message(age_ms=-1),
        _message(age_ms=10**30),
    ],
)
def test_odd_readings_are_ignored(message: ServerReadings) -> None:
    """Figures out of range would make a server look idle or full for ever."""
    state = make_state({'s1': 'a1'})
    assert _learn(state, message) == 0
    assert state.servers['s1'].reported_at is None


def test_reading_of_an_unlisted_server_is_ignored() -> None:
    """Another daemon may know a server earlier than this one."""
    state = make_state({'s2': 'a1'})
    assert _learn(state, _message(per_cent=250)) == 1
    assert set(state.servers) == {'s2'}


def test_newest_readings_fit_in_one_datagram() -> None:
    """A datagram that is too large would be split or lost."""
    readings = [
        Reading(f's{number}', 1, 0, 1.25, NOW - number * MILLISECOND_NS)
        for number in range(MAX_READINGS + 10)
    ]
    message = make_readings('n1', readings, NOW)
    assert message is not None
    assert message.names == tuple(f's{n}' for n in range(MAX_READINGS))
    assert message.figures[:8] == (1, 0, 125, 0, 1, 0, 125, 1)


def test_expired_readings_are_not_sent() -> None:
    """After a suspension a daemon must not spread what is long past."""
    reading = Reading('s1', 1, 0, 2.5, NOW - SECOND_NS)
    assert make_readings('n1', [reading], NOW) is None


def test_speeds_are_in_use_while_a_server_reports_them() -> None:
    """Deployments without the figure must not pay for the exchange."""
    state = make_state({'s1': 'a1'})
    assert not reports_speeds(state, NOW)
    assert record_speed(state, state.servers['s1'], 1, NOW)
    assert not record_speed(state, state.servers['s1'], 1, NOW)
    assert reports_speeds(state, NOW + 10 * SECOND_NS)
    assert not reports_speeds(state, NOW + 11 * SECOND_NS)


def test_travel_time_depends_on_the_zone_of_the_sender() -> None:
    """A reading from afar must not replace a newer one from nearby."""
    state = make_state({})
    times = [travel_time(state, zone) for zone in ('a1', 'a2', 'b1', None)]
    expected_ms = [0.5, 5, 35, 35]
    assert times == [ms * MILLISECOND_NS for ms in expected_ms]
