"""Limits as one daemon accounts for them: floors, loans and buckets."""

from typing import Final

from attrs import Factory, define, evolve

from geraniumshelf_core.allowance.bucket import Bucket
from geraniumshelf_core.allowance.floors import Floor
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    PARTS_PER_MILLION,
    SECOND_NS,
    Nanoseconds,
)

FLOOR_TERM_NS: Final[Nanoseconds] = 4 * SECOND_NS
TOKEN_TERM_NS: Final[Nanoseconds] = SECOND_NS

# Two clocks that are each wrong by 500 ppm differ by 1,000 ppm.
_MARGIN_PPM: Final = 1000
_MARGIN_MS: Final = 50


def lender_term(term: Nanoseconds) -> Nanoseconds:
    """Return the time for which a lender counts a loan as outstanding."""
    drift = term * _MARGIN_PPM // PARTS_PER_MILLION
    return term + drift + _MARGIN_MS * MILLISECOND_NS


# A new holder of a slot waits until the loans of its predecessor have ended.
QUARANTINE_NS: Final[Nanoseconds] = lender_term(FLOOR_TERM_NS)


@define
class Loan:
    """A loan, as recorded by the lender or by the borrower.

    Attributes:
        loan_id: Number assigned by the lender.
        peer: Instance name of the other side.
        rate: Micro-tokens per second.
        capacity: Micro-tokens.
        ends_at: End of the loan on the clock of the side that recorded it,
            nanoseconds.
        is_token: Whether it is a loan of tokens without a rate.
        is_remnant: Whether it is what was cut off a loan that was made smaller,
            and counts as outstanding until the former term ends.
    """

    loan_id: int
    peer: str
    rate: int
    capacity: int
    ends_at: Nanoseconds
    is_token: bool = False
    is_remnant: bool = False


@define
class Limit:
    """One limit as one daemon accounts for it.

    Rate and capacity of the bucket are those of the floor, plus what is
    borrowed, less what is lent.
    """

    floor: Floor = Factory(Floor)
    bucket: Bucket = Factory(Bucket)
    lent: list[Loan] = Factory(list)
    borrowed: list[Loan] = Factory(list)


@define
class AllowanceLedger:
    """All limits of one daemon.

    Attributes:
        next_loan_id: Number of the next loan. It starts at random, so that a
            delayed message to a previous run names no loan of this one.
        limits: Limits by account name.
        limits_by_loan_id: Limits by number of a loan that may be outstanding.
    """

    next_loan_id: int
    limits: dict[str, Limit] = Factory(dict)
    limits_by_loan_id: dict[int, Limit] = Factory(dict)

    def limit(self, account: str, now: Nanoseconds) -> Limit:
        """Return the limit of an account; a new one starts empty."""
        if account not in self.limits:
            self.limits[account] = Limit(bucket=Bucket(updated_at=now))
        return self.limits[account]


@define
class Grant:
    """A new loan and the tokens transferred with it.

    Attributes:
        loan: The loan; its end is on the lender's clock.
        tokens: Micro-tokens transferred with it.
    """

    loan: Loan
    tokens: int = 0


def split_remnant(loan: Loan, rate: int, capacity: int) -> Loan:
    """Return the remnant of a loan that exceeds a smaller rate and capacity."""
    return evolve(
        loan,
        rate=loan.rate - rate,
        capacity=loan.capacity - capacity,
        is_remnant=True,
    )
