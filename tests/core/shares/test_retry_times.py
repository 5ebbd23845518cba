"""Guards the times at which refused requests are sent again."""

from itertools import pairwise

from geraniumshelf_core.shares.retry_times import (
    RetryTimes,
    record_token,
    state_retry,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_WAIT_NS = 20 * MILLISECOND_NS


def test_each_refusal_names_a_token_of_its_own() -> None:
    """Callers that are told the same time are refused again together.

    Ten requests of an account with 20 tokens a second are refused at once.
    """
    times = RetryTimes()
    now = 10 * SECOND_NS
    stated = [state_retry(times, _WAIT_NS, 20, now) for _ in range(10)]
    assert stated[0] == _WAIT_NS
    for earlier, later in pairwise(stated):
        assert later - earlier == 50 * MILLISECOND_NS


def test_rate_is_that_of_the_tokens_of_other_daemons_too() -> None:
    """A daemon that has lent its share has no rate of its own."""
    times = RetryTimes()
    now = 0
    for _ in range(300):
        now += 10 * MILLISECOND_NS
        record_token(times, now)
    first = state_retry(times, _WAIT_NS, 0, now)
    second = state_retry(times, _WAIT_NS, 0, now)
    assert 8 * MILLISECOND_NS < second - first < 12 * MILLISECOND_NS


def test_callers_that_do_not_return_take_no_place() -> None:
    """Stated times must not run away under several times the limit.

    Callers return only within a third of the time that they have left.
    """
    times = RetryTimes()
    now = 10 * SECOND_NS
    stated = [state_retry(times, _WAIT_NS, 20, now) for _ in range(1000)]
    assert max(stated) < SECOND_NS
    assert state_retry(times, _WAIT_NS, 20, now + SECOND_NS) == _WAIT_NS
