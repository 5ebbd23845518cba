"""Shares of the rates of client accounts.

Answers an account that sends several times its rate to many daemons at once:
each daemon admits its own part, so the sum holds without a message; what one
does not need it lends.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.bucket import (
    ShareBucket,
    resize,
    take,
    time_to_token,
)
from geraniumshelf_core.shares.holding import Holding, held_shares
from geraniumshelf_core.shares.loans import (
    LOAN_TERM_NS,
    Loans,
    borrow,
    lend,
    own_share,
    spare_shares,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Part of a limit that is given out; requests that were admitted one after the
# other may reach their servers closer together.
_GIVEN_PART: Final = 0.95
# Time after which shares that are lent have come back, or tokens have come from
# their borrower.
_LOAN_RETURN_NS: Final[Nanoseconds] = SECOND_NS
# Demand is smoothed over about this time.
_DEMAND_WINDOW_NS: Final[Nanoseconds] = 2 * SECOND_NS
# A share is wanted that covers this many times the demand, as demand varies.
_HEADROOM: Final = 1.6


@define
class AccountShare:
    """This daemon's part of an account's limit.

    Attributes:
        bucket: Tokens for requests.
        rate: Rate of one share, per second.
        capacity: Bucket capacity of one share.
        loans: What is lent and borrowed.
        arrivals: Requests since the last measurement.
        demand: Smoothed requests per second.
        measured_at: Time of the last measurement.
    """

    bucket: ShareBucket
    rate: float
    capacity: float
    loans: Loans = field(factory=Loans)
    arrivals: int = 0
    demand: float = 0
    measured_at: Nanoseconds = 0


@define
class Quotas:
    """This daemon's shares.

    Attributes:
        overshoot: Part of a rate that is allowed beyond it.
        slack: Requests that are allowed beyond the burst in a window.
        window_s: Length of that window, seconds.
        holding: Whole shares that this daemon holds.
        started_at: Start of this daemon, before which its earlier run has
            ended; ``None`` if it is not known.
        shares: Share by account name.
    """

    overshoot: float
    slack: float
    window_s: float
    holding: Holding = field(factory=Holding)
    started_at: Nanoseconds | None = None
    shares: dict[str, AccountShare] = field(factory=dict)


def divide_quotas(
    quotas: Quotas,
    accounts: Iterable[SiteAccount],
    daemons: int,
    now: Nanoseconds,
) -> None:
    """Take over the limits of a configuration for a number of daemons."""
    wanted = {one.name: one for one in accounts if one.rate > 0}
    for name in quotas.shares.keys() - wanted.keys():
        del quotas.shares[name]
    factor = (1 + quotas.overshoot) * _GIVEN_PART / daemons
    slack = quotas.slack * _GIVEN_PART / daemons
    # The share of a daemon that was a standby has been in use elsewhere.
    since = now if quotas.holding.lent_until else quotas.started_at
    for name, account in wanted.items():
        rate = account.rate * factor
        capacity = account.burst * factor + slack
        share = quotas.shares.get(name)
        if share is None:
            bucket = ShareBucket(
                rate, capacity, filled_at=now if since is None else since
            )
            share = AccountShare(bucket, rate, capacity, measured_at=now)
            quotas.shares[name] = share
        share.rate = rate
        share.capacity = capacity
        apply_loans(quotas, share, now)


def admit(quotas: Quotas, account: str, now: Nanoseconds) -> bool:
    """Take a token of an account; an account without a limit needs none."""
    share = quotas.shares.get(account)
    if share is None:
        return True
    share.arrivals += 1
    return take_token(quotas, account, now)


def take_token(quotas: Quotas, account: str, now: Nanoseconds) -> bool:
    """Take a token for a request that was counted before."""
    share = quotas.shares.get(account)
    if share is None:
        return True
    apply_loans(quotas, share, now)
    return take(share.bucket, now)


def time_to_admission(quotas: Quotas, account: str) -> Nanoseconds:
    """Return the time until an account that was refused has a token."""
    share = quotas.shares.get(account)
    if share is None:
        return 0
    if share.bucket.rate <= 0:
        # All is lent; the loans end by then.
        return _LOAN_RETURN_NS
    return time_to_token(share.bucket)


def describe_share(quotas: Quotas, account: str, now: Nanoseconds) -> str:
    """Return what decides about requests of an account, for the log."""
    share = quotas.shares.get(account)
    if share is None:
        return 'no limit'
    bucket = share.bucket
    held = held_shares(quotas.holding, now)
    part = own_share(share.loans, held, now)
    return (
        f'tokens {bucket.tokens:.2f} of {bucket.capacity:.2f}'
        f' rate {bucket.rate:.2f}/s demand {share.demand:.2f}/s'
        f' shares {held} after loans {part:.2f}'
    )


def measure_needs(quotas: Quotas, now: Nanoseconds) -> dict[str, float]:
    """Measure the demand; return the need of each account, in shares."""
    for share in quotas.shares.values():
        # Tokens of a rate and capacity that are applied late are lost.
        apply_loans(quotas, share, now)
        age = now - share.measured_at
        if age <= 0:
            continue
        weight = min(1, age / _DEMAND_WINDOW_NS)
        recent = share.arrivals * SECOND_NS / age
        share.demand += weight * (recent - share.demand)
        share.arrivals = 0
        share.measured_at = now
    return {
        name: _HEADROOM * held.demand / held.rate
        for name, held in quotas.shares.items()
        if held.rate > 0
    }


def lend_share(
    quotas: Quotas,
    account: str,
    borrower: str,
    wanted: float,
    now: Nanoseconds,
) -> float:
    """Lend a part of this daemon's share; return how much, 0 for none."""
    share = quotas.shares.get(account)
    if share is None or share.rate <= 0:
        return 0
    needed = _HEADROOM * share.demand / share.rate
    spare = spare_shares(held_shares(quotas.holding, now), needed)
    given = lend(share.loans, borrower, wanted, spare, now)
    apply_loans(quotas, share, now)
    return given


def borrow_share(
    quotas: Quotas,
    account: str,
    lender: str,
    part: float,
    requested_at: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> None:
    """Take over a loan that answers a question asked at a time."""
    share = quotas.shares.get(account)
    if share is not None:
        borrow(share.loans, lender, part, requested_at, term)


def apply_loans(quotas: Quotas, share: AccountShare, now: Nanoseconds) -> None:
    """Bring the bucket of an account to what may be used of it now."""
    held = held_shares(quotas.holding, now)
    rate, capacity = _whole_tokens(
        share.rate * held, share.capacity * held, quotas.window_s
    )
    part = own_share(share.loans, held, now) / max(1, held)
    resize(share.bucket, rate * part, capacity * part, now)


def _whole_tokens(
    rate: float, capacity: float, window_s: float
) -> tuple[float, float]:
    """Return a rate and a capacity that admit a request at all.

    In a large fleet the bucket of a small account holds less than one token.
    It gets a whole one, and a lower rate, so that no window admits more.
    """
    if capacity >= 1 or not rate:
        return rate, capacity
    total = capacity + rate * window_s
    whole = min(1, total)
    return (total - whole) / window_s, whole
