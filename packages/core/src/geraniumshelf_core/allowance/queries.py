"""Questions about a limit that change nothing."""

from geraniumshelf_core.allowance.floors import Floor
from geraniumshelf_core.allowance.state import Limit, Loan
from geraniumshelf_core.units import Nanoseconds


def lent_total(limit: Limit, *, with_remnants: bool = True) -> Floor:
    """Return rate and capacity that are out on loan."""
    return _total(
        [loan for loan in limit.lent if with_remnants or not loan.is_remnant]
    )


def borrowed_until(limit: Limit, time: Nanoseconds) -> Floor:
    """Return rate and capacity that stay borrowed at least until a time."""
    return _total([loan for loan in limit.borrowed if loan.ends_at >= time])


def in_use(limit: Limit) -> Floor:
    """Return rate and capacity that the bucket may have."""
    lent = lent_total(limit)
    borrowed = _total(limit.borrowed)
    return Floor(
        max(0, limit.floor.rate + borrowed.rate - lent.rate),
        max(0, limit.floor.capacity + borrowed.capacity - lent.capacity),
    )


def kept_floor(limit: Limit) -> Floor:
    """Return the part of the own floor that may be lent."""
    lent = lent_total(limit)
    return Floor(
        max(0, limit.floor.rate - lent.rate),
        max(0, limit.floor.capacity - lent.capacity),
    )


def can_spare(limit: Limit, loan: Loan) -> bool:
    """Tell whether a borrowed loan backs nothing that is lent on."""
    lent = lent_total(limit)
    last = max((each.ends_at for each in limit.lent), default=0)
    backing = borrowed_until(limit, last)
    rate = limit.floor.rate + backing.rate
    capacity = limit.floor.capacity + backing.capacity
    if loan.ends_at >= last:
        rate -= loan.rate
        capacity -= loan.capacity
    return rate >= lent.rate and capacity >= lent.capacity


def has_ended_loan(limit: Limit, now: Nanoseconds) -> bool:
    """Tell whether a loan has reached its term but still counts."""
    return any(
        loan.ends_at <= now
        for loans in (limit.lent, limit.borrowed)
        for loan in loans
    )


def token_loans_out(limit: Limit) -> int:
    """Return micro-tokens that are out in token loans."""
    return sum(loan.capacity for loan in limit.lent if loan.is_token)


def _total(loans: list[Loan]) -> Floor:
    return Floor(
        sum(loan.rate for loan in loans), sum(loan.capacity for loan in loans)
    )
