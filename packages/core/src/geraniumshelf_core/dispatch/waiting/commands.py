"""Adds requests to a wait queue and removes them."""

from collections import deque
from typing import Final

from geraniumshelf_core.dispatch.waiting.queries import (
    expected_wait,
    next_ticket,
    queue_length,
)
from geraniumshelf_core.dispatch.waiting.state import (
    EnqueueResult,
    Lane,
    Queued,
    QueueRejection,
    Ticket,
    WaitQueue,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A new sample counts one part in this many in the moving average.
_SMOOTHING: Final = 8
# Longer intervals are pauses between bursts. They do not show how fast a queue
# is served, so they are cut to this.
_MAX_INTERVAL_NS: Final[Nanoseconds] = 10 * SECOND_NS


def enqueue(
    queue: WaitQueue, ticket: Ticket, now: Nanoseconds
) -> EnqueueResult:
    """Add a ticket if it can be served before its deadline.

    A full queue evicts the newest ticket of the account that has the most, so
    that an account that floods the queue displaces only its own tickets.
    """
    wait = expected_wait(queue, ticket)
    if now + wait > ticket.deadline:
        return QueueRejection(wait)
    evicted = None
    if queue_length(queue) >= queue.limit:
        evicted = _find_evictable(queue, ticket)
        if evicted is None:
            return QueueRejection(max(wait, SECOND_NS))
        remove(queue, evicted)
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    lane.setdefault(ticket.account, deque()).append(ticket)
    return Queued(evicted)


def take_next(queue: WaitQueue) -> Ticket | None:
    """Remove and return the ticket whose turn it is."""
    ticket = next_ticket(queue)
    if ticket is None:
        return None
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    tickets = lane.pop(ticket.account)
    tickets.popleft()
    if tickets:
        # Moves the account to the end of the round-robin order.
        lane[ticket.account] = tickets
    return ticket


def remove(queue: WaitQueue, ticket: Ticket) -> None:
    """Remove a ticket if it is still in the queue."""
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    tickets = lane.get(ticket.account)
    if tickets is None or ticket not in tickets:
        return
    tickets.remove(ticket)
    if not tickets:
        lane.pop(ticket.account)


def record_completion(queue: WaitQueue, now: Nanoseconds) -> None:
    """Record the end of a request, which frees a slot."""
    if queue.last_completion_at is not None:
        sample = min(max(0, now - queue.last_completion_at), _MAX_INTERVAL_NS)
        queue.completion_interval += (
            sample - queue.completion_interval
        ) // _SMOOTHING
    queue.last_completion_at = now


def _find_evictable(queue: WaitQueue, ticket: Ticket) -> Ticket | None:
    """Return the ticket that is evicted for a new one.

    Urgent tickets evict deferrable ones first. Within a lane, a ticket is
    evicted only from an account that keeps more than the new ticket's account.
    """
    if queue.deferrable and not ticket.may_wait:
        return _max_account_queue(queue.deferrable)[-1]
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    if not lane:
        return None
    tickets = _max_account_queue(lane)
    own_count = len(lane.get(ticket.account, ()))
    return tickets[-1] if len(tickets) > own_count + 1 else None


def _max_account_queue(lane: Lane) -> deque[Ticket]:
    """Return the tickets of the account that has the most."""
    return max(lane.values(), key=len)
