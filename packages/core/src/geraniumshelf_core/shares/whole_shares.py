"""Whole shares of the limits that a daemon holds.

In a large fleet whose callers connect to few daemons, the share of a single
daemon is too small to admit any request. A standby, which is a daemon without
callers, therefore lends its whole share to one entry instance of its zone.
Lender and borrower count the term as for loans of single accounts, so the
shares in use never exceed the number of daemons.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.loans import CLOCK_DRIFT_MARGIN_NS
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Two heartbeat rounds. After a power loss the shares of standbys stay unused
# for one term, and requests are refused in the meantime.
WHOLE_SHARE_TERM_NS: Final[Nanoseconds] = SECOND_NS
# Stands for the term of a daemon's own share, which has no end; longer than any
# loan of that share.
_OWN_SHARE_TERM_NS: Final[Nanoseconds] = 60 * SECOND_NS


@define
class WholeShares:
    """Whole shares that this daemon holds.

    Attributes:
        lent_to: Name of the last borrower of the daemon's own share.
        lent_until: Time until which the borrower may use the own share.
        borrowed: End of the term of each borrowed share, by name of the lender.
    """

    lent_to: str = ''
    lent_until: Nanoseconds = 0
    borrowed: dict[str, Nanoseconds] = field(factory=dict)


def count_shares(whole_shares: WholeShares, now: Nanoseconds) -> int:
    """Return how many whole shares this daemon may use now."""
    own = 0 if whole_shares.lent_until > now else 1
    return own + sum(until > now for until in whole_shares.borrowed.values())


def next_term_end(whole_shares: WholeShares, now: Nanoseconds) -> Nanoseconds:
    """Return the time at which the first of the current terms ends."""
    running = (until for until in whole_shares.borrowed.values() if until > now)
    return min(running, default=now + _OWN_SHARE_TERM_NS)


def withdraw_share(whole_shares: WholeShares, now: Nanoseconds) -> None:
    """Keep the own share unused until all earlier loans have ended.

    Fractions of it may be on loan, or a previous run of this daemon may have
    lent the whole share.
    """
    whole_shares.lent_to = ''
    whole_shares.lent_until = now + WHOLE_SHARE_TERM_NS + CLOCK_DRIFT_MARGIN_NS


def lend_whole_share(
    whole_shares: WholeShares, borrower: str, now: Nanoseconds
) -> bool:
    """Lend the own share; return whether no other borrower may use it."""
    if whole_shares.lent_until > now and whole_shares.lent_to != borrower:
        return False
    whole_shares.lent_to = borrower
    whole_shares.lent_until = now + WHOLE_SHARE_TERM_NS + CLOCK_DRIFT_MARGIN_NS
    return True


def borrow_whole_share(
    whole_shares: WholeShares, lender: str, requested_at: Nanoseconds
) -> None:
    """Add a borrowed share whose term counts from the time of the request."""
    until = max(
        requested_at + WHOLE_SHARE_TERM_NS, whole_shares.borrowed.get(lender, 0)
    )
    whole_shares.borrowed = {
        name: end
        for name, end in whole_shares.borrowed.items()
        if end > requested_at
    }
    whole_shares.borrowed[lender] = until
