"""Tests of the round-robin order of client accounts in the wait queue."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.dispatch.waiting.commands import (
    enqueue,
    record_completion,
    remove,
    take_next,
)
from geraniumshelf_core.dispatch.waiting.queries import (
    max_tickets_ahead,
    queue_length,
)
from geraniumshelf_core.dispatch.waiting.state import (
    Queued,
    QueueRejection,
    Ticket,
    WaitQueue,
)
from geraniumshelf_core.units import SECOND_NS

_TICKETS = st.lists(
    st.tuples(st.sampled_from('abcd'), st.booleans()), max_size=40
)


@given(_TICKETS, st.integers(1, 12))
def test_queue_is_bounded_and_estimates_never_fall_short(
    requests: list[tuple[str, bool]], limit: int
) -> None:
    """A request whose wait is underestimated would miss its deadline."""
    queue = WaitQueue(limit)
    for account, may_wait in requests:
        ticket = Ticket(account, may_wait, SECOND_NS)
        ahead = max_tickets_ahead(queue, ticket)
        if isinstance(enqueue(queue, ticket, 0), QueueRejection):
            continue
        assert queue_length(queue) <= limit
        trial = WaitQueue(limit)
        for lane, copy in (
            (queue.urgent, trial.urgent),
            (queue.deferrable, trial.deferrable),
        ):
            copy.update(
                {name: tickets.copy() for name, tickets in lane.items()}
            )
        turns = 0
        while take_next(trial) is not ticket:
            turns += 1
        assert turns <= ahead


@given(st.integers(1, 200))
def test_flood_of_one_account_delays_another_by_one_turn(flood: int) -> None:
    """An account that floods the queue must not delay other accounts."""
    queue = WaitQueue(50)
    for _ in range(flood):
        enqueue(queue, Ticket('flood', False, SECOND_NS), 0)
    ticket = Ticket('quiet', False, SECOND_NS)
    assert isinstance(enqueue(queue, ticket, 0), Queued)
    assert ticket in (take_next(queue), take_next(queue))


def test_deferrable_tickets_come_last_and_are_evicted_first() -> None:
    """Requests that may wait must not delay urgent ones."""
    queue = WaitQueue(2)
    deferrable = [Ticket('a', True, SECOND_NS) for _ in range(2)]
    for ticket in deferrable:
        enqueue(queue, ticket, 0)
    urgent = Ticket('a', False, SECOND_NS)
    assert enqueue(queue, urgent, 0) == Queued(deferrable[1])
    assert take_next(queue) is urgent
    assert take_next(queue) is deferrable[0]
    assert take_next(queue) is None


def test_wait_past_the_deadline_is_rejected_at_once() -> None:
    """A caller that cannot be served in time must not wait for the refusal."""
    queue = WaitQueue(50)
    for second in range(60):
        record_completion(queue, second * SECOND_NS)
    now = 60 * SECOND_NS
    first = Ticket('a', False, now + 2 * SECOND_NS)
    assert isinstance(enqueue(queue, first, now), Queued)
    refused = enqueue(queue, Ticket('a', False, now + SECOND_NS), now)
    assert isinstance(refused, QueueRejection)
    assert refused.retry_after > SECOND_NS
    remove(queue, first)
    assert queue_length(queue) == 0
