"""Tests of the admission of requests under overload."""

from geraniumshelf_core.admission.verdict import (
    Admitted,
    Rejected,
    decide_admission,
)
from geraniumshelf_core.placement.state import Candidate, ServerView
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_VIEW = ServerView(ListedServer('s', 'desk', 'a:1', 'z', 2), 'r')
_WORK = 100 * MILLISECOND_NS


def _decide(
    wait: int, time_left: int, jitter: float = 0.5, target: int = SECOND_NS
) -> Admitted | Rejected:
    return decide_admission(
        Candidate(_VIEW, wait, _WORK, 0, _WORK), target, time_left, jitter
    )


def test_request_that_would_wait_past_its_deadline_is_rejected() -> None:
    """It would take a slot although its caller gets no response in time."""
    assert isinstance(_decide(2 * SECOND_NS, SECOND_NS), Rejected)
    assert isinstance(_decide(SECOND_NS // 10, SECOND_NS), Admitted)


def test_queue_that_makes_all_answers_late_is_not_entered() -> None:
    """All responses would be late for as long as the queue lasts."""
    target = 3 * _WORK
    assert isinstance(_decide(2 * _WORK, SECOND_NS, target=target), Admitted)
    assert isinstance(_decide(3 * _WORK, SECOND_NS, target=target), Rejected)


def test_late_request_still_waits_one_turn() -> None:
    """With a short queue, a late response does not delay other requests."""
    assert isinstance(_decide(_WORK, SECOND_NS, target=0), Admitted)
    assert isinstance(_decide(2 * _WORK, SECOND_NS, target=0), Rejected)


def test_request_without_a_queue_is_always_tried() -> None:
    """The expected work is an estimate, and a slot is free to try it."""
    assert isinstance(_decide(0, _WORK // 2), Admitted)


def test_late_run_makes_room_in_a_crowded_region() -> None:
    """Requests for cold objects would keep a crowded region crowded."""
    for load, is_admitted in ((0.0, True), (0.34, False), (1.5, False)):
        candidate = Candidate(_VIEW, 0, _WORK, 0, _WORK, load)
        crowded = decide_admission(
            candidate, _WORK // 2, SECOND_NS, 0.5, is_crowded=True
        )
        assert isinstance(crowded, Admitted) is is_admitted
        uncrowded = decide_admission(candidate, _WORK // 2, SECOND_NS, 0.5)
        assert isinstance(uncrowded, Admitted)


def test_retry_times_have_jitter() -> None:
    """Callers that were rejected together would retry together."""
    times = set()
    for step in range(10):
        verdict = _decide(SECOND_NS, SECOND_NS, step / 10)
        assert isinstance(verdict, Rejected)
        times.add(verdict.retry_after)
    assert len(times) == 10
    assert min(times) >= SECOND_NS // 10


def test_service_without_a_server_is_rejected_at_once() -> None:
    """No server may ever appear, so the caller must not wait for one."""
    assert isinstance(
        decide_admission(None, SECOND_NS, SECOND_NS, 0.5), Rejected
    )
