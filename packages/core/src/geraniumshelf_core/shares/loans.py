"""Timed loans of account shares between daemons.

Answers callers of one account that use few daemons at a time: a daemon with
spare share lends a part of it for a short term. The borrower counts the term
from when it asked and the lender from when it answered, so the borrower
always stops first, and a lost message never adds to the sum.
"""

from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Three heartbeats of a small fleet, so that one lost message costs nothing.
TERM_MS: Final = 1500
LOAN_TERM_NS: Final[Nanoseconds] = TERM_MS * MILLISECOND_NS
# Clocks of two instances drift apart by far less than this in a term.
CLOCK_DRIFT_MARGIN_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# Part of its shares that a daemon keeps in any case.
_KEPT_PART: Final = 0.1
# Smaller loans aren't worth a message.
_LEAST_LOAN: Final = 0.02


@frozen
class Term:
    """A part of a share for a time.

    Attributes:
        share: Part, in shares of one daemon.
        until: End of the term.
    """

    share: float
    until: Nanoseconds


@define
class Loans:
    """Loans of one account at this daemon.

    Attributes:
        lent: Terms by the name of the borrower.
        borrowed: Newest term by the name of the lender.
    """

    lent: dict[str, tuple[Term, ...]] = field(factory=dict)
    borrowed: dict[str, Term] = field(factory=dict)


def lent_share(loans: Loans, now: Nanoseconds) -> float:
    """Return what is lent now, the largest running term of each borrower."""
    return sum(
        max((term.share for term in terms if term.until > now), default=0)
        for terms in loans.lent.values()
    )


def borrowed_share(loans: Loans, now: Nanoseconds) -> float:
    """Return what is borrowed now."""
    return sum(
        term.share for term in loans.borrowed.values() if term.until > now
    )


def own_share(loans: Loans, held: int, now: Nanoseconds) -> float:
    """Return what this daemon may use now of the shares that it holds."""
    return max(0, held - lent_share(loans, now) + borrowed_share(loans, now))


def lend(
    loans: Loans,
    borrower: str,
    wanted: float,
    spare: float,
    now: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> float:
    """Lend a part of the shares and return how much; 0 for none.

    Args:
        loans: Loans of the account.
        borrower: Name of the daemon that asks.
        wanted: What it asks for.
        spare: What this daemon holds and does not need, lent parts included.
        now: Current time.
        term: Length of the loan.
    """
    terms = tuple(
        term for term in loans.lent.get(borrower, ()) if term.until > now
    )
    loans.lent[borrower] = ()
    left = spare - lent_share(loans, now)
    loans.lent[borrower] = terms
    share = min(wanted, left)
    if share < _LEAST_LOAN:
        return 0
    loans.lent[borrower] = (
        *terms,
        Term(share, now + term + CLOCK_DRIFT_MARGIN_NS),
    )
    return share


def borrow(
    loans: Loans,
    lender: str,
    share: float,
    requested_at: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> None:
    """Take over a loan that answers a question asked at a time."""
    until = requested_at + min(term, LOAN_TERM_NS)
    known = loans.borrowed.get(lender)
    if known is None or known.until < until:
        loans.borrowed[lender] = Term(share, until)


def spare_shares(held: int, needed: float) -> float:
    """Return what a daemon may lend of the shares that it holds."""
    return held - max(needed, _KEPT_PART * held)


def wanted_loans(
    needs: Mapping[str, float], held: int, others: int
) -> dict[str, float]:
    """Return what to ask each of the other daemons for, by account.

    Args:
        needs: Need by account, in shares of one daemon.
        held: Shares that this daemon holds.
        others: Number of other daemons; each is asked for twice its part, as
            some have nothing to spare.
    """
    if others < 1:
        return {}
    part = 2 / (others + 1)
    return {
        name: (need - held) * part
        for name, need in needs.items()
        if (need - held) * part >= _LEAST_LOAN
    }
