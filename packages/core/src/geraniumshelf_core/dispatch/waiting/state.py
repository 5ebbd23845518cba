"""A bounded wait queue that serves client accounts round-robin."""

from collections import deque
from typing import Any

from attrs import define, field, frozen

from geraniumshelf_core.units import Nanoseconds

Lane = dict[str, deque['Ticket']]


@frozen(eq=False)
class Ticket:
    """Place of a waiting request in the queue.

    Attributes:
        account: Client account, empty on open routes.
        may_wait: Whether it is deferrable: served after all urgent requests.
        deadline: Time until which the request may wait for a slot.
        context: Data with which the owner of the queue wakes the request.
    """

    account: str
    may_wait: bool
    deadline: Nanoseconds
    context: Any = None


@define
class WaitQueue:
    """Wait queue of one service.

    Attributes:
        limit: Maximum number of tickets.
        urgent: Tickets that may not wait, by account in round-robin order.
        deferrable: Tickets that may wait, by account in round-robin order.
        completion_interval: Moving average of the time between two ends of
            requests, 0 if unknown.
        last_completion_at: Time of the last end, ``None`` before the first.
    """

    limit: int
    urgent: Lane = field(factory=dict)
    deferrable: Lane = field(factory=dict)
    completion_interval: Nanoseconds = 0
    last_completion_at: Nanoseconds | None = None


@frozen
class Queued:
    """The ticket was added to the queue.

    Attributes:
        evicted: Ticket that was removed to make room, ``None`` for none.
    """

    evicted: Ticket | None = None


@frozen
class QueueRejection:
    """The ticket cannot be served before its deadline, or the queue is full.

    Attributes:
        retry_after: Time after which the caller should retry, nanoseconds.
    """

    retry_after: Nanoseconds


EnqueueResult = Queued | QueueRejection
