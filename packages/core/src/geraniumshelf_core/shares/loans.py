"""Timed loans of account shares between daemons.

The callers of an account may connect to few daemons at a time. Daemons that do
not need their whole share lend a fraction of it for a short term. The borrower
counts the term from when it sent the request, and the lender from when it
replied. The borrower therefore always stops first, and a lost message never
adds to the total in use.
"""

from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Three heartbeat intervals of a small fleet, so that losing one message has no
# effect.
LOAN_TERM_MS: Final = 1500
LOAN_TERM_NS: Final[Nanoseconds] = LOAN_TERM_MS * MILLISECOND_NS
# The clocks of two instances drift apart by far less than this during a term.
CLOCK_DRIFT_MARGIN_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# Fraction of its shares that a daemon never lends.
_RESERVED_FRACTION: Final = 0.1
# Smaller loans, in shares of one daemon, are not worth a message.
_MIN_LOAN_SHARES: Final = 0.02


@frozen
class TimedLoan:
    """An amount on loan until the end of a term.

    Attributes:
        share: Amount, in shares of one daemon.
        until: End of the term.
    """

    share: float
    until: Nanoseconds


@define
class Loans:
    """Loans of one account at this daemon.

    Attributes:
        lent: Loans granted, by name of the borrower.
        borrowed: Latest loan received, by name of the lender.
    """

    lent: dict[str, tuple[TimedLoan, ...]] = field(factory=dict)
    borrowed: dict[str, TimedLoan] = field(factory=dict)


def lent_share(loans: Loans, now: Nanoseconds) -> float:
    """Return the shares lent now: the largest current loan per borrower."""
    return sum(
        max((loan.share for loan in granted if loan.until > now), default=0)
        for granted in loans.lent.values()
    )


def borrowed_share(loans: Loans, now: Nanoseconds) -> float:
    """Return the shares borrowed now."""
    return sum(
        loan.share for loan in loans.borrowed.values() if loan.until > now
    )


def own_share(loans: Loans, held: int, now: Nanoseconds) -> float:
    """Return the shares that this daemon may use now, loans included."""
    return max(0, held - lent_share(loans, now) + borrowed_share(loans, now))


def lend(
    loans: Loans,
    borrower: str,
    wanted: float,
    spare: float,
    now: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> float:
    """Lend spare shares to another daemon.

    Args:
        loans: Loans of the account.
        borrower: Name of the daemon that requests the loan.
        wanted: Shares that it requests.
        spare: Shares that this daemon holds and does not need, including those
            that it has lent.
        now: Current time.
        term: Length of the loan.

    Returns:
        The shares lent, 0 for none.
    """
    current = tuple(
        loan for loan in loans.lent.get(borrower, ()) if loan.until > now
    )
    # Loans to the same borrower overlap; only the largest of them counts.
    loans.lent[borrower] = ()
    available = spare - lent_share(loans, now)
    loans.lent[borrower] = current
    share = min(wanted, available)
    if share < _MIN_LOAN_SHARES:
        return 0
    loans.lent[borrower] = (
        *current,
        TimedLoan(share, now + term + CLOCK_DRIFT_MARGIN_NS),
    )
    return share


def borrow(
    loans: Loans,
    lender: str,
    share: float,
    requested_at: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> None:
    """Add a loan whose term counts from the time of the request."""
    until = requested_at + min(term, LOAN_TERM_NS)
    known = loans.borrowed.get(lender)
    if known is None or known.until < until:
        loans.borrowed[lender] = TimedLoan(share, until)


def spare_shares(held: int, needed: float) -> float:
    """Return how many of the held shares a daemon may lend."""
    return held - max(needed, _RESERVED_FRACTION * held)


def wanted_loans(
    needs: Mapping[str, float], held: int, others: int
) -> dict[str, float]:
    """Return the shares to request from each other daemon, by account.

    Args:
        needs: Shares that each account needs at this daemon.
        held: Shares that this daemon holds.
        others: Number of other daemons. Each is asked for twice an equal
            fraction, because some have nothing to spare.
    """
    if others < 1:
        return {}
    fraction = 2 / (others + 1)
    return {
        name: (need - held) * fraction
        for name, need in needs.items()
        if (need - held) * fraction >= _MIN_LOAN_SHARES
    }
