"""Owners of client accounts, at which the shares of an account are pooled.

In a large fleet with many small accounts, an account sends a few requests per
second to any of about thirty entry instances. With a thirtieth of its rate at
each of them, most of its bursts would be refused although the account stays
within its rate. The entry instances of a region therefore lend their shares of
an account to one of them, the owner, and request tokens from it, which takes a
few milliseconds. The limit holds because the shares are lent: two daemons that
both act as the owner only divide the loans between them.

The owners of different regions fetch tokens from each other before they run
out, because all callers may be in one region. A token leaves one bucket before
it enters another, and is lost if that one is full.
"""

from collections.abc import Iterable
from math import ceil
from typing import Final

from attrs import define, field

from geraniumshelf_core.membership.ranking import find_best_ranked
from geraniumshelf_core.shares.bucket import refill
from geraniumshelf_core.shares.loans import lend
from geraniumshelf_core.shares.quotas import AccountQuotas, apply_loans
from geraniumshelf_core.shares.whole_shares import (
    WholeShares,
    count_shares,
    next_term_end,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Owners request loans three times per term. The term is short because shares
# pooled at an owner that has failed cannot be used until it ends.
_POOLING_TERM_MS: Final = 600
_POOLING_TERM_NS: Final[Nanoseconds] = _POOLING_TERM_MS * MILLISECOND_NS
# A region fetches tokens if it has fewer than it uses in this time, in seconds,
# which is several round trips between regions.
_RESERVE_S: Final = 0.6
# Minimum number of tokens that a region keeps, because callers send a few
# requests at once.
_MIN_RESERVE_TOKENS: Final = 3


@define
class AccountOwners:
    """Owners of the accounts in one region, as known to this daemon.

    Attributes:
        entries: Names of the entry instances of the region.
        owners: Cache of the owner by account.
    """

    entries: tuple[str, ...] = ()
    owners: dict[str, str | None] = field(factory=dict)


def set_entries(owners: AccountOwners, entries: Iterable[str]) -> None:
    """Set the entry instances; without any, shares are not pooled."""
    names = tuple(sorted(entries))
    if names != owners.entries:
        owners.entries = names
        owners.owners = {}


def find_owner(owners: AccountOwners, account: str) -> str | None:
    """Return the owner of an account, ``None`` for none."""
    if account not in owners.owners:
        owners.owners[account] = find_best_ranked(account, owners.entries)
    return owners.owners[account]


def owned_accounts(
    owners: AccountOwners, quotas: AccountQuotas, name: str
) -> tuple[str, ...]:
    """Return the accounts with a limit that a daemon owns."""
    return tuple(
        account
        for account in quotas.shares
        if find_owner(owners, account) == name
    )


def lend_to_owner(
    quotas: AccountQuotas,
    account: str,
    owner: str,
    term: Nanoseconds,
    now: Nanoseconds,
) -> float:
    """Lend all held shares of an account to its owner.

    Args:
        quotas: Shares of this daemon.
        account: Client account.
        owner: Name of the owner.
        term: Length of the loan, from ``owner_loan_term``.
        now: Current time.

    Returns:
        The shares lent.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    held = count_shares(quotas.whole_shares, now)
    lent = lend(share.loans, owner, held, held, now, term)
    apply_loans(quotas, share, now)
    return lent


def owner_loan_term(whole_shares: WholeShares, now: Nanoseconds) -> Nanoseconds:
    """Return the time for which all held shares may be lent.

    A share that is itself borrowed returns to its lender at the end of its own
    term.
    """
    return min(_POOLING_TERM_NS, next_term_end(whole_shares, now) - now)


def count_missing_tokens(
    quotas: AccountQuotas, account: str, now: Nanoseconds
) -> int:
    """Return how many tokens the owner in a region should fetch."""
    share = quotas.shares.get(account)
    if share is None:
        return 0
    refill(share.bucket, now)
    bucket = share.bucket
    reserve = max(_MIN_RESERVE_TOKENS, share.demand * _RESERVE_S)
    return max(0, ceil(min(reserve, bucket.capacity - 1) - bucket.tokens))


def deposit_tokens(
    quotas: AccountQuotas, account: str, tokens: float, now: Nanoseconds
) -> None:
    """Add tokens of another bucket to the own one, up to its capacity.

    Tokens beyond the capacity are lost.
    """
    share = quotas.shares.get(account)
    if share is not None and tokens:
        refill(share.bucket, now)
        bucket = share.bucket
        bucket.tokens = min(bucket.capacity, bucket.tokens + tokens)


def record_token_demand(
    quotas: AccountQuotas, account: str, requests: int
) -> None:
    """Count requests for which another daemon asks the owner for tokens."""
    share = quotas.shares.get(account)
    if share is not None:
        share.arrivals += requests
