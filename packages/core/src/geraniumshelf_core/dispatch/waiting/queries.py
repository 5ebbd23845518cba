"""Reads a queue of waiting requests."""

from geraniumshelf_core.dispatch.waiting.state import Lane, Ticket, WaitQueue
from geraniumshelf_core.units import Nanoseconds


def queue_length(queue: WaitQueue) -> int:
    """Return the number of waiting tickets."""
    return lane_length(queue.urgent) + lane_length(queue.deferrable)


def lane_length(lane: Lane) -> int:
    """Return the number of tickets in a lane."""
    return sum(len(row) for row in lane.values())


def max_tickets_ahead(queue: WaitQueue, ticket: Ticket) -> int:
    """Return how many tickets are served before a new one at most.

    Accounts take turns, so an account with many tickets delays others by no
    more tickets than they have themselves.
    """
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    own = len(lane.get(ticket.account, ()))
    ahead = own + sum(
        min(len(row), own + 1)
        for account, row in lane.items()
        if account != ticket.account
    )
    if ticket.may_wait:
        ahead += lane_length(queue.urgent)
    return ahead


def expected_wait(queue: WaitQueue, ticket: Ticket) -> Nanoseconds:
    """Return how long a new ticket would wait, by recent ends."""
    return (max_tickets_ahead(queue, ticket) + 1) * queue.completion_interval


def next_ticket(queue: WaitQueue) -> Ticket | None:
    """Return the ticket whose turn it is."""
    lane = queue.urgent or queue.deferrable
    row = next(iter(lane.values()), None)
    return row[0] if row else None
