"""The book of one daemon: floors, loans and a bucket per limit."""

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
    """Return the time for which a lender counts a loan as out."""
    drift = term * _MARGIN_PPM // PARTS_PER_MILLION
    return term + drift + _MARGIN_MS * MILLISECOND_NS


# A new holder of a slot waits for what its predecessor may have lent.
QUARANTINE_NS: Final[Nanoseconds] = lender_term(FLOOR_TERM_NS)


@define
class Loan:
    """A loan, as the lender or the borrower keeps it.

    Attributes:
        loan_id: Number given by the lender.
        peer: Instance name of the other side.
        rate: Micro-tokens a second.
        capacity: Micro-tokens.
        ends_at: Time on the keeper's own clock, nanoseconds.
        is_token: Whether it is a loan of tokens without a rate.
        is_remnant: Whether it is the cut part of a loan made smaller, which
            counts as out until the former term ends.
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
    """One limit as seen by one daemon.

    The bucket has the floor plus what is borrowed less what is lent.
    """

    floor: Floor = Factory(Floor)
    bucket: Bucket = Factory(Bucket)
    lent: list[Loan] = Factory(list)
    borrowed: list[Loan] = Factory(list)


@define
class AllowanceLedger:
    """All limits of one daemon.

    Attributes:
        next_loan_id: Number of the next loan; starts at random, so that a
            delayed message for a predecessor names no loan of this run.
        limits: Limits by account name.
        limits_by_loan_id: Limits by number of a loan that may be out.
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
    """What a lender hands over.

    Attributes:
        loan: The loan; its end is on the lender's clock.
        tokens: Micro-tokens that move along.
    """

    loan: Loan
    tokens: int = 0


def split_remnant(loan: Loan, rate: int, capacity: int) -> Loan:
    """Return the part of a loan beyond a smaller size."""
    return evolve(
        loan,
        rate=loan.rate - rate,
        capacity=loan.capacity - capacity,
        is_remnant=True,
    )
