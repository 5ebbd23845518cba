"""Tests of the average work of a service."""

from tests.core.placement.harness import NOW, make_state

from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    set_initial_work,
)
from geraniumshelf_core.placement.estimates import typical_work
from geraniumshelf_core.units import SECOND_NS


def test_objects_that_others_have_warmed_do_not_make_cold_work_short() -> None:
    """Work on objects that other daemons warmed must not count as cold.

    A daemon sends only few of a server's requests. It counted the short times
    of objects that others had warmed as cold work, so a cold server seemed as
    good as a warm one and objects moved from server to server, cold on each.
    """
    state = make_state({'s1': 'a1'})
    view = state.servers['s1']
    set_initial_work(state, 'desk', SECOND_NS)
    warm, cold = SECOND_NS * 0.4, SECOND_NS * 1.3
    for number in range(400):
        work = round(cold if number % 10 == 0 else warm)
        begin_request(state, view)
        outcome = Outcome(work=work, object_name=f'{number}')
        end_request(state, view, outcome, NOW)
    assert typical_work(state, 'desk').cold > 0.8 * cold
    assert typical_work(state, 'desk').warm < 1.2 * warm


def test_work_is_expected_by_the_time_that_answers_may_take() -> None:
    """A default that is too short would overload a service with long work."""
    state = make_state({'s1': 'a1'})
    set_initial_work(state, 'desk', 3 * SECOND_NS)
    assert typical_work(state, 'desk').cold > 3 * SECOND_NS
    view = state.servers['s1']
    begin_request(state, view)
    end_request(state, view, Outcome(work=SECOND_NS, object_name='x'), NOW)
    average = typical_work(state, 'desk').cold
    assert SECOND_NS < average < 4 * SECOND_NS
    set_initial_work(state, 'desk', SECOND_NS)
    assert typical_work(state, 'desk').cold == average
