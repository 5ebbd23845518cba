"""Requests for tokens, and grants for them, that may be repeated on the way.

A datagram may be repeated on its way. A second copy of a grant would put the
same tokens into use twice, so each request has its own time, by which it is
recognized, and is granted once. A grant that an earlier run of this daemon
requested is not recognized either. A second copy of a request would take tokens
that its sender does not accept, so it is ignored.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.messages import TokenGrant, TokenRequest
from geraniumshelf_core.shares.transfers import MAX_WAIT_NS
from geraniumshelf_core.units import Nanoseconds

# Bounds the memory for requests without a reply.
_MAX_PENDING: Final = 50_000


@define
class PendingTokenRequests:
    """Requests of this daemon that may still be granted.

    Attributes:
        accounts: Account by time of the request, the oldest first.
        last_requested_at: Time of the last request.
    """

    accounts: dict[Nanoseconds, str] = field(factory=dict)
    last_requested_at: Nanoseconds = 0


def begin_pending(
    pending: PendingTokenRequests, account: str, now: Nanoseconds
) -> Nanoseconds:
    """Record a request to one daemon; return the time that identifies it."""
    while pending.accounts:
        oldest = next(iter(pending.accounts))
        is_full = len(pending.accounts) >= _MAX_PENDING
        if now - oldest <= MAX_WAIT_NS and not is_full:
            break
        del pending.accounts[oldest]
    requested_at = max(now, pending.last_requested_at + 1)
    pending.last_requested_at = requested_at
    pending.accounts[requested_at] = account
    return requested_at


def end_pending(pending: PendingTokenRequests, grant: TokenGrant) -> bool:
    """Return whether a grant is the first one for its request."""
    if pending.accounts.get(grant.requested_at) != grant.account:
        return False
    del pending.accounts[grant.requested_at]
    return True


@define
class AnsweredTokenRequests:
    """Requests of other daemons that this daemon has answered lately.

    Attributes:
        answered: Time of the answer by sender, account and time of the
            request, the oldest first.
    """

    answered: dict[tuple[str, str, Nanoseconds], Nanoseconds] = field(
        factory=dict
    )


def begin_answer(
    answers: AnsweredTokenRequests, request: TokenRequest, now: Nanoseconds
) -> bool:
    """Record a request; return whether it is not a copy of an answered one."""
    while answers.answered:
        oldest, answered_at = next(iter(answers.answered.items()))
        is_full = len(answers.answered) >= _MAX_PENDING
        if now - answered_at <= MAX_WAIT_NS and not is_full:
            break
        del answers.answered[oldest]
    key = (request.name, request.account, request.requested_at)
    if key in answers.answered:
        return False
    answers.answered[key] = now
    return True
