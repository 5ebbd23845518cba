"""Tokens that are transferred with the loan of a share.

A standby rests its share for a term after its start, because an earlier run may
have lent it, and waits for the request of an entry instance after that. From
the end of the last loan until the next one nobody uses the share, so the tokens
of that time are unspent. The standby has no configuration and knows no account;
it states the time instead, and the borrower adds the tokens of that time to its
buckets. The share counts as lent from then on, so no time is stated twice.

A daemon that lends its shares of an account to the owner has tokens that its
smaller bucket cannot hold. They leave its bucket and are sent to the owner.
"""

from typing import Final

from attrs import define, field

from geraniumshelf_core.shares.messages import LoanTokens
from geraniumshelf_core.shares.owners import deposit_tokens, lend_to_owner
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    AccountShare,
    apply_loans,
)
from geraniumshelf_core.shares.whole_shares import WholeShares
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Tokens that arrive later than this after the request are dropped. It is half
# the term of a whole share and longer than a round trip under load.
_MAX_AGE_MS: Final = 500
MAX_AGE_NS: Final[Nanoseconds] = _MAX_AGE_MS * MILLISECOND_NS
# Fewer tokens are not worth their place in a datagram.
MIN_TOKENS: Final = 0.01


@define
class AcceptedTokens:
    """Transfers of tokens that this daemon has accepted.

    Attributes:
        requested_at: Time of the request of the last one, by name of the
            lender.
    """

    requested_at: dict[str, Nanoseconds] = field(factory=dict)


def unused_time(whole_shares: WholeShares, now: Nanoseconds) -> Nanoseconds:
    """Return the time for which the share of a standby has been unused.

    It must be read before the share is lent.
    """
    if not whole_shares.lent_until:
        return 0
    return max(0, now - whole_shares.lent_until)


def lend_with_tokens(
    quotas: AccountQuotas,
    account: str,
    owner: str,
    term: Nanoseconds,
    now: Nanoseconds,
) -> tuple[float, float]:
    """Lend all held shares of an account to its owner.

    Args:
        quotas: Shares of this daemon.
        account: Client account.
        owner: Name of the owner.
        term: Length of the loan, from ``owner_loan_term``.
        now: Current time.

    Returns:
        The shares lent, and the tokens that have left the bucket with them.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0, 0
    apply_loans(quotas, share, now)
    tokens = share.bucket.tokens
    lent = lend_to_owner(quotas, account, owner, term, now)
    return lent, tokens - share.bucket.tokens


def accept_loan_tokens(
    accepted: AcceptedTokens,
    quotas: AccountQuotas,
    message: LoanTokens,
    now: Nanoseconds,
) -> bool:
    """Add transferred tokens to the buckets, up to their capacity.

    Args:
        accepted: Transfers accepted before.
        quotas: Shares of this daemon.
        message: Tokens of the lender.
        now: Current time.

    Returns:
        Whether the tokens count. Those of a repeated, overtaken or late
        message, and of one that an earlier run of this daemon requested, do
        not.
    """
    requested_at = message.requested_at
    age = now - requested_at
    last = accepted.requested_at.get(message.lender, quotas.started_at or 0)
    if not 0 <= age <= MAX_AGE_NS or requested_at <= last:
        return False
    accepted.requested_at[message.lender] = requested_at
    for account, share in quotas.shares.items():
        tokens = message.tokens.get(account, 0) + _unused_tokens(
            share, message.unused
        )
        if tokens > 0:
            apply_loans(quotas, share, now)
            # The bucket may have filled up with the lent capacity while the
            # message was in transit.
            filled = share.bucket.rate * age / SECOND_NS
            deposit_tokens(quotas, account, max(0, tokens - filled), now)
    return True


def _unused_tokens(share: AccountShare, unused: Nanoseconds) -> float:
    return min(share.capacity, share.rate * max(0, unused) / SECOND_NS)
