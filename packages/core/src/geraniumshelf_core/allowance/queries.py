"""Functions that read a limit without modifying it."""

from geraniumshelf_core.allowance.floors import Floor
from geraniumshelf_core.allowance.state import Limit, Loan
from geraniumshelf_core.units import Nanoseconds


def lent_total(limit: Limit, *, with_remnants: bool = True) -> Floor:
    """Return the rate and capacity that are lent."""
    return _total(
        [loan for loan in limit.lent if with_remnants or not loan.is_remnant]
    )


def borrowed_until(limit: Limit, time: Nanoseconds) -> Floor:
    """Return the rate and capacity that are borrowed until at least a time."""
    return _total([loan for loan in limit.borrowed if loan.ends_at >= time])


def usable_size(limit: Limit) -> Floor:
    """Return the rate and capacity that the bucket may have."""
    lent = lent_total(limit)
    borrowed = _total(limit.borrowed)
    return Floor(
        max(0, limit.floor.rate + borrowed.rate - lent.rate),
        max(0, limit.floor.capacity + borrowed.capacity - lent.capacity),
    )


def unlent_floor(limit: Limit) -> Floor:
    """Return the rate and capacity of the own floor that is not lent."""
    lent = lent_total(limit)
    return Floor(
        max(0, limit.floor.rate - lent.rate),
        max(0, limit.floor.capacity - lent.capacity),
    )


def can_return(limit: Limit, loan: Loan) -> bool:
    """Return whether no loan to others depends on a borrowed loan."""
    lent = lent_total(limit)
    last_end = max((lent_loan.ends_at for lent_loan in limit.lent), default=0)
    backing = borrowed_until(limit, last_end)
    rate = limit.floor.rate + backing.rate
    capacity = limit.floor.capacity + backing.capacity
    if loan.ends_at >= last_end:
        rate -= loan.rate
        capacity -= loan.capacity
    return rate >= lent.rate and capacity >= lent.capacity


def token_loans_out(limit: Limit) -> int:
    """Return the micro-tokens lent in token loans."""
    return sum(loan.capacity for loan in limit.lent if loan.is_token)


def _total(loans: list[Loan]) -> Floor:
    return Floor(
        sum(loan.rate for loan in loans), sum(loan.capacity for loan in loans)
    )
