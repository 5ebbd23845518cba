"""Changes a queue of waiting requests."""

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

_SMOOTHING: Final = 8
# A pause between bursts says nothing about how fast a queue is served.
_LONGEST_INTERVAL: Final[Nanoseconds] = 10 * SECOND_NS


def enqueue(
    queue: WaitQueue, ticket: Ticket, now: Nanoseconds
) -> EnqueueResult:
    """Add a ticket if it can be served in time.

    A full queue makes room by evicting the newest ticket of the account that
    has the most, so that a flood displaces only itself.
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
    row = lane.pop(ticket.account)
    row.popleft()
    if row:
        # The account goes to the end of the order.
        lane[ticket.account] = row
    return ticket


def remove(queue: WaitQueue, ticket: Ticket) -> None:
    """Remove a ticket that no longer waits; it may be gone already."""
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    row = lane.get(ticket.account)
    if row is None or ticket not in row:
        return
    row.remove(ticket)
    if not row:
        lane.pop(ticket.account)


def record_completion(queue: WaitQueue, now: Nanoseconds) -> None:
    """Count the end of a request, which frees a slot."""
    if queue.last_completion_at is not None:
        sample = min(max(0, now - queue.last_completion_at), _LONGEST_INTERVAL)
        queue.completion_interval += (
            sample - queue.completion_interval
        ) // _SMOOTHING
    queue.last_completion_at = now


def _find_evictable(queue: WaitQueue, ticket: Ticket) -> Ticket | None:
    if queue.deferrable and not ticket.may_wait:
        return _longest_row(queue.deferrable)[-1]
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    if not lane:
        return None
    row = _longest_row(lane)
    own = len(lane.get(ticket.account, ()))
    return row[-1] if len(row) > own + 1 else None


def _longest_row(lane: Lane) -> deque[Ticket]:
    return max(lane.values(), key=len)
