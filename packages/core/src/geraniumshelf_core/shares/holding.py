"""Shares of the limits that this daemon holds.

Answers a large fleet whose callers use few daemons: the share of one daemon is
then too small to admit anyone. A standby, a daemon without callers, lends its
whole share to one entry of its zone. Terms are counted as for loans of single
accounts, so the shares in use never exceed the number of daemons.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.loans import CLOCK_DRIFT_MARGIN_NS
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Two rounds of heartbeats. After a loss of power the shares of standbys rest
# for a term, and callers are refused meanwhile.
WHOLE_SHARE_TERM_NS: Final[Nanoseconds] = SECOND_NS
# The own share has no term; this is longer than any loan of it.
_UNBOUNDED_NS: Final[Nanoseconds] = 60 * SECOND_NS


@define
class Holding:
    """Whole shares of this daemon.

    Attributes:
        lent_to: Name of the last borrower of the own share.
        lent_until: Time until which the own share may be in use there.
        borrowed: End of the term by the name of the lender.
    """

    lent_to: str = ''
    lent_until: Nanoseconds = 0
    borrowed: dict[str, Nanoseconds] = field(factory=dict)


def held_shares(holding: Holding, now: Nanoseconds) -> int:
    """Return how many shares this daemon may use now."""
    own = 0 if holding.lent_until > now else 1
    return own + sum(until > now for until in holding.borrowed.values())


def held_until(holding: Holding, now: Nanoseconds) -> Nanoseconds:
    """Return the end of the first of the terms that run now."""
    running = (until for until in holding.borrowed.values() if until > now)
    return min(running, default=now + _UNBOUNDED_NS)


def withdraw_share(holding: Holding, now: Nanoseconds) -> None:
    """Keep the own share out of use until all earlier loans have ended.

    Parts of it may be lent, or an earlier run of this daemon lent it.
    """
    holding.lent_to = ''
    holding.lent_until = now + WHOLE_SHARE_TERM_NS + CLOCK_DRIFT_MARGIN_NS


def lend_whole_share(holding: Holding, borrower: str, now: Nanoseconds) -> bool:
    """Lend the own share; return whether it was not in use elsewhere."""
    if holding.lent_until > now and holding.lent_to != borrower:
        return False
    holding.lent_to = borrower
    holding.lent_until = now + WHOLE_SHARE_TERM_NS + CLOCK_DRIFT_MARGIN_NS
    return True


def borrow_whole_share(
    holding: Holding, lender: str, requested_at: Nanoseconds
) -> None:
    """Take over the share that answers a question asked at a time."""
    until = max(
        requested_at + WHOLE_SHARE_TERM_NS, holding.borrowed.get(lender, 0)
    )
    holding.borrowed = {
        name: end
        for name, end in holding.borrowed.items()
        if end > requested_at
    }
    holding.borrowed[lender] = until
