"""A bounded queue with fair turns for client accounts."""

from collections import deque
from typing import Any

from attrs import define, field, frozen

from geraniumshelf_core.units import Nanoseconds

Lane = dict[str, deque['Ticket']]


@frozen(eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        account: Client account, empty on open routes.
        may_wait: Whether it yields to all requests that may not.
        deadline: Time at which the caller no longer wants an answer.
        context: Whatever wakes the request.
    """

    account: str
    may_wait: bool
    deadline: Nanoseconds
    context: Any = None


@define
class WaitQueue:
    """The tickets of one service.

    Attributes:
        limit: Largest number of tickets.
        urgent: Tickets that may not wait, by account in turn order.
        deferrable: Tickets that may wait, by account in turn order.
        completion_interval: Mean time between two ends of requests, 0 for
            unknown.
        last_completion_at: Time of the last end, ``None`` for none.
    """

    limit: int
    urgent: Lane = field(factory=dict)
    deferrable: Lane = field(factory=dict)
    completion_interval: Nanoseconds = 0
    last_completion_at: Nanoseconds | None = None


@frozen
class Queued:
    """The ticket waits; another may have lost its place to it."""

    evicted: Ticket | None = None


@frozen
class QueueRejection:
    """The ticket cannot be served in time.

    Attributes:
        retry_after: Time after which coming back helps, nanoseconds.
    """

    retry_after: Nanoseconds


EnqueueResult = Queued | QueueRejection
