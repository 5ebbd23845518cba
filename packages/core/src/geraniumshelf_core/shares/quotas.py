"""Shares of the rate limits of client accounts.

An account may send several times its rate to many daemons at once. Each daemon
admits no more than its own share, so the total stays within the limit without
any message between them. A daemon lends the shares that it does not need.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.shares.bucket import (
    ShareBucket,
    resize,
    take,
    time_to_token,
)
from geraniumshelf_core.shares.loans import (
    LOAN_TERM_NS,
    Loans,
    borrow,
    lend,
    own_share,
    spare_shares,
)
from geraniumshelf_core.shares.whole_shares import (
    WholeShares,
    count_shares,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Fraction of a limit that the daemons use. The rest is kept because requests
# that were admitted one after the other may reach their servers closer
# together.
_USED_FRACTION: Final = 0.95
# Time after which lent shares have been returned, or their borrower has granted
# tokens.
_LOAN_RETURN_NS: Final[Nanoseconds] = SECOND_NS
# Time over which the measured demand is smoothed, approximately.
_DEMAND_WINDOW_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Shares are requested for this many times the demand, because demand varies.
_HEADROOM_FACTOR: Final = 1.6


@define
class AccountShare:
    """This daemon's share of the limit of an account.

    Attributes:
        bucket: Token bucket that admits requests.
        rate: Rate of one share, tokens per second.
        capacity: Bucket capacity of one share, tokens.
        loans: Shares lent and borrowed.
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
class AccountQuotas:
    """This daemon's shares of the limits of all accounts.

    Attributes:
        overshoot: Fraction by which a limit may be exceeded.
        slack: Requests that are allowed beyond the burst in a window.
        window_s: Length of that window, seconds.
        whole_shares: Whole shares that this daemon holds.
        started_at: Start of this daemon, by which its previous run had ended;
            ``None`` if it is not known.
        shares: Share by account name.
        policies: The policies in use.
    """

    overshoot: float
    slack: float
    window_s: float
    whole_shares: WholeShares = field(factory=WholeShares)
    started_at: Nanoseconds | None = None
    shares: dict[str, AccountShare] = field(factory=dict)
    policies: Policies = DEFAULT_POLICIES


def divide_quotas(
    quotas: AccountQuotas,
    accounts: Iterable[SiteAccount],
    daemons: int,
    now: Nanoseconds,
) -> None:
    """Apply the limits of a configuration, divided among the daemons.

    Args:
        quotas: Shares of this daemon.
        accounts: Client accounts; a rate of 0 stands for no limit.
        daemons: Number of daemons that may be alive.
        now: Current time.
    """
    limited = {
        limited_account.name: limited_account
        for limited_account in accounts
        if limited_account.rate > 0
    }
    for name in quotas.shares.keys() - limited.keys():
        del quotas.shares[name]
    factor = (1 + quotas.overshoot) * _USED_FRACTION / daemons
    slack = quotas.slack * _USED_FRACTION / daemons
    # The share of a former standby has been in use at its borrower.
    refill_start = now if quotas.whole_shares.lent_until else quotas.started_at
    for name, account in limited.items():
        rate = account.rate * factor
        capacity = account.burst * factor + slack
        share = quotas.shares.get(name)
        if share is None:
            bucket = ShareBucket(
                rate,
                capacity,
                filled_at=now if refill_start is None else refill_start,
            )
            share = AccountShare(bucket, rate, capacity, measured_at=now)
            quotas.shares[name] = share
        share.rate = rate
        share.capacity = capacity
        apply_loans(quotas, share, now)


def admit(quotas: AccountQuotas, account: str, now: Nanoseconds) -> bool:
    """Count a request and take a token; return whether it is admitted.

    An account without a limit needs no token.
    """
    share = quotas.shares.get(account)
    if share is None:
        return True
    share.arrivals += 1
    return take_token(quotas, account, now)


def take_token(quotas: AccountQuotas, account: str, now: Nanoseconds) -> bool:
    """Take a token for a request that has already been counted."""
    share = quotas.shares.get(account)
    if share is None:
        return True
    apply_loans(quotas, share, now)
    return take(share.bucket, now)


def time_to_admission(quotas: AccountQuotas, account: str) -> Nanoseconds:
    """Return the time until a refused account has a token."""
    share = quotas.shares.get(account)
    if share is None:
        return 0
    if share.bucket.rate <= 0:
        # The whole share is lent; the loans have ended by then.
        return _LOAN_RETURN_NS
    return time_to_token(share.bucket)


def bucket_rate(quotas: AccountQuotas, account: str) -> float:
    """Return the rate of the bucket of an account, tokens per second."""
    share = quotas.shares.get(account)
    return 0 if share is None else share.bucket.rate


def describe_share(
    quotas: AccountQuotas, account: str, now: Nanoseconds
) -> str:
    """Return the inputs of the admission decision for an account.

    They are written to the log.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 'no limit'
    bucket = share.bucket
    held = count_shares(quotas.whole_shares, now)
    usable = own_share(share.loans, held, now)
    return (
        f'tokens {bucket.tokens:.2f} of {bucket.capacity:.2f}'
        f' rate {bucket.rate:.2f}/s demand {share.demand:.2f}/s'
        f' shares {held} after loans {usable:.2f}'
    )


def measure_needs(quotas: AccountQuotas, now: Nanoseconds) -> dict[str, float]:
    """Measure the demand; return the shares that each account needs."""
    for share in quotas.shares.values():
        # Loans are applied at each measurement: a bucket that gets its new rate
        # and capacity later has lost the tokens accrued in between.
        apply_loans(quotas, share, now)
        elapsed = now - share.measured_at
        if elapsed <= 0:
            continue
        weight = min(1, elapsed / _DEMAND_WINDOW_NS)
        recent_rate = share.arrivals * SECOND_NS / elapsed
        share.demand += weight * (recent_rate - share.demand)
        share.arrivals = 0
        share.measured_at = now
    return {
        name: _HEADROOM_FACTOR * account_share.demand / account_share.rate
        for name, account_share in quotas.shares.items()
        if account_share.rate > 0
    }


def lend_share(
    quotas: AccountQuotas,
    account: str,
    borrower: str,
    wanted: float,
    now: Nanoseconds,
) -> float:
    """Lend shares of an account; return how many, 0 for none."""
    share = quotas.shares.get(account)
    if share is None or share.rate <= 0:
        return 0
    needed = _HEADROOM_FACTOR * share.demand / share.rate
    spare = spare_shares(count_shares(quotas.whole_shares, now), needed)
    lent = lend(share.loans, borrower, wanted, spare, now)
    apply_loans(quotas, share, now)
    return lent


def borrow_share(
    quotas: AccountQuotas,
    account: str,
    lender: str,
    amount: float,
    requested_at: Nanoseconds,
    term: Nanoseconds = LOAN_TERM_NS,
) -> None:
    """Add a loan whose term counts from the time of the request."""
    share = quotas.shares.get(account)
    if share is not None:
        borrow(share.loans, lender, amount, requested_at, term)


def apply_loans(
    quotas: AccountQuotas, share: AccountShare, now: Nanoseconds
) -> None:
    """Resize the bucket of an account to the shares usable now."""
    held = count_shares(quotas.whole_shares, now)
    rate, capacity = _raise_capacity(
        share.rate * held, share.capacity * held, quotas.window_s
    )
    fraction = own_share(share.loans, held, now) / max(1, held)
    resize(share.bucket, rate * fraction, capacity * fraction, now)


def _raise_capacity(
    rate: float, capacity: float, window_s: float
) -> tuple[float, float]:
    """Return a rate and a capacity that can admit a request.

    In a large fleet the bucket of a small account would hold less than one
    token and admit nothing. It gets the capacity of one token instead, and a
    lower rate, so that no window admits more than before.
    """
    if capacity >= 1 or not rate:
        return rate, capacity
    window_tokens = capacity + rate * window_s
    raised_capacity = min(1, window_tokens)
    return (window_tokens - raised_capacity) / window_s, raised_capacity
