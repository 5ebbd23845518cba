"""Which daemon gathers the shares of a client account.

Answers a large fleet with many small accounts: an account sends a few requests
a second to any of some thirty entries, and a thirtieth of its rate at each of
them refuses most of its bursts although the account is within its rate. The
entries of a region lend their shares of an account to one of them, the owner,
and ask it for tokens, which takes a few milliseconds. The loans keep the limit;
two daemons that both take themselves for the owner only divide the loans.

The owners of the regions fetch tokens from each other before they run out, as
callers may all be in one region. A token leaves one bucket before it gets into
another, and gets lost if that one is full.
"""

from collections.abc import Iterable
from math import ceil
from typing import Final

from attrs import define, field

from geraniumshelf_core.membership.ranking import best_ranked
from geraniumshelf_core.shares.bucket import refill
from geraniumshelf_core.shares.holding import Holding, held_shares, held_until
from geraniumshelf_core.shares.loans import lend
from geraniumshelf_core.shares.quotas import Quotas, apply_loans
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Owners ask three times in this term. It is short, since the shares that a dead
# owner has gathered are of use to nobody until it ends.
_TERM_MS: Final = 600
_TERM_NS: Final[Nanoseconds] = _TERM_MS * MILLISECOND_NS
# A region fetches tokens if it has fewer than it gives out in this time,
# seconds: several ways between regions and back.
_STOCK_S: Final = 0.6
# Fewest tokens that a region wants to have; callers send a few at once.
_LEAST_STOCK: Final = 3


@define
class AccountOwners:
    """Owners as one daemon sees them.

    Attributes:
        entries: Names of the daemons that take callers.
        owners: Owner by account, as far as they were asked for.
    """

    entries: tuple[str, ...] = ()
    owners: dict[str, str | None] = field(factory=dict)


def set_entries(owners: AccountOwners, entries: Iterable[str]) -> None:
    """Take over which daemons take callers; none if nobody gathers shares."""
    names = tuple(sorted(entries))
    if names != owners.entries:
        owners.entries = names
        owners.owners = {}


def find_owner(owners: AccountOwners, account: str) -> str | None:
    """Return the daemon that gathers an account, ``None`` for none."""
    if account not in owners.owners:
        owners.owners[account] = best_ranked(account, owners.entries)
    return owners.owners[account]


def owned_accounts(
    owners: AccountOwners, quotas: Quotas, name: str
) -> tuple[str, ...]:
    """Return the accounts with a limit that a daemon gathers."""
    return tuple(
        account
        for account in quotas.shares
        if find_owner(owners, account) == name
    )


def lend_to_owner(
    quotas: Quotas,
    account: str,
    owner: str,
    term: Nanoseconds,
    now: Nanoseconds,
) -> float:
    """Lend the owner of an account all shares held; return how much.

    Args:
        quotas: Shares of this daemon.
        account: Client account.
        owner: Name of the owner.
        term: Length of the loan, from ``owner_loan_term``.
        now: Current time.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    held = held_shares(quotas.holding, now)
    given = lend(share.loans, owner, held, held, now, term)
    apply_loans(quotas, share, now)
    return given


def owner_loan_term(holding: Holding, now: Nanoseconds) -> Nanoseconds:
    """Return for how long all held shares may be lent.

    A share that is itself borrowed goes back to its lender at the end of its
    own term.
    """
    return min(_TERM_NS, held_until(holding, now) - now)


def count_missing_tokens(quotas: Quotas, account: str, now: Nanoseconds) -> int:
    """Return how many tokens the owner in a region should fetch."""
    share = quotas.shares.get(account)
    if share is None:
        return 0
    refill(share.bucket, now)
    bucket = share.bucket
    wanted = max(_LEAST_STOCK, share.demand * _STOCK_S)
    return max(0, ceil(min(wanted, bucket.capacity - 1) - bucket.tokens))


def deposit_tokens(
    quotas: Quotas, account: str, tokens: int, now: Nanoseconds
) -> None:
    """Put tokens of another bucket into the own one; the rest is lost."""
    share = quotas.shares.get(account)
    if share is not None and tokens:
        refill(share.bucket, now)
        bucket = share.bucket
        bucket.tokens = min(bucket.capacity, bucket.tokens + tokens)


def record_token_demand(quotas: Quotas, account: str, requests: int) -> None:
    """Count requests that ask for tokens of the owner."""
    share = quotas.shares.get(account)
    if share is not None:
        share.arrivals += requests
