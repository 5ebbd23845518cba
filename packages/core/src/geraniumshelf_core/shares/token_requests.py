"""Requests for tokens that have not been granted yet.

A datagram may be repeated on its way. A second copy of a grant would put the
same tokens into use twice, so each request has its own time, by which it is
recognized, and is granted once. A grant that an earlier run of this daemon
requested is not recognized either.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.messages import TokenGrant
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
