"""Guards rejections under a load above the capacity."""

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


def _judge(
    wait: int, left: int, jitter: float = 0.5, target: int = SECOND_NS
) -> Admitted | Rejected:
    return decide_admission(
        Candidate(_VIEW, wait, _WORK, 0, _WORK), target, left, jitter
    )


def test_request_that_would_wait_past_its_deadline_is_rejected() -> None:
    """It would use a slot and bring its caller nothing."""
    assert isinstance(_judge(2 * SECOND_NS, SECOND_NS), Rejected)
    assert isinstance(_judge(SECOND_NS // 10, SECOND_NS), Admitted)


def test_queue_that_makes_all_answers_late_is_not_entered() -> None:
    """Slots would serve only late answers for as long as the queue lasts."""
    target = 3 * _WORK
    assert isinstance(_judge(2 * _WORK, SECOND_NS, target=target), Admitted)
    assert isinstance(_judge(3 * _WORK, SECOND_NS, target=target), Rejected)


def test_late_request_still_waits_one_turn() -> None:
    """With a short queue a late answer costs nobody else his."""
    assert isinstance(_judge(_WORK, SECOND_NS, target=0), Admitted)
    assert isinstance(_judge(2 * _WORK, SECOND_NS, target=0), Rejected)


def test_request_without_a_queue_is_always_tried() -> None:
    """Work is only expected; a slot is free, so trying costs no one."""
    assert isinstance(_judge(0, _WORK // 2), Admitted)


def test_late_run_makes_room_in_a_crowded_region() -> None:
    """Cold runs keep a region crowded with the callers that it bore before."""
    for load, is_admitted in ((0.0, True), (0.34, False), (1.5, False)):
        choice = Candidate(_VIEW, 0, _WORK, 0, _WORK, load)
        verdict = decide_admission(
            choice, _WORK // 2, SECOND_NS, 0.5, is_crowded=True
        )
        assert isinstance(verdict, Admitted) is is_admitted
        calm = decide_admission(choice, _WORK // 2, SECOND_NS, 0.5)
        assert isinstance(calm, Admitted)


def test_returns_are_spread() -> None:
    """Callers that were rejected together would come back together."""
    times = set()
    for step in range(10):
        verdict = _judge(SECOND_NS, SECOND_NS, step / 10)
        assert isinstance(verdict, Rejected)
        times.add(verdict.retry_after)
    assert len(times) == 10
    assert min(times) >= SECOND_NS // 10


def test_service_without_a_server_is_rejected_at_once() -> None:
    """Waiting for a server that may never come helps nobody."""
    assert isinstance(
        decide_admission(None, SECOND_NS, SECOND_NS, 0.5), Rejected
    )
