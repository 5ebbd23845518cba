"""Queries on a wait queue: length, order and expected wait."""

from geraniumshelf_core.dispatch.waiting.state import Lane, Ticket, WaitQueue
from geraniumshelf_core.units import Nanoseconds


def queue_length(queue: WaitQueue) -> int:
    """Return the number of tickets in a queue."""
    return lane_length(queue.urgent) + lane_length(queue.deferrable)


def lane_length(lane: Lane) -> int:
    """Return the number of tickets in a lane."""
    return sum(len(tickets) for tickets in lane.values())


def max_tickets_ahead(queue: WaitQueue, ticket: Ticket) -> int:
    """Return the maximum number of tickets served before a new one.

    Accounts are served round-robin, so before the new ticket each other account
    gets at most one turn more than the ticket's account has tickets.
    """
    lane = queue.deferrable if ticket.may_wait else queue.urgent
    own_count = len(lane.get(ticket.account, ()))
    ahead = own_count + sum(
        min(len(tickets), own_count + 1)
        for account, tickets in lane.items()
        if account != ticket.account
    )
    if ticket.may_wait:
        ahead += lane_length(queue.urgent)
    return ahead


def expected_wait(queue: WaitQueue, ticket: Ticket) -> Nanoseconds:
    """Return the expected wait of a new ticket at the recent service rate."""
    return (max_tickets_ahead(queue, ticket) + 1) * queue.completion_interval


def next_ticket(queue: WaitQueue) -> Ticket | None:
    """Return the ticket that is served next."""
    lane = queue.urgent or queue.deferrable
    tickets = next(iter(lane.values()), None)
    return tickets[0] if tickets else None
