"""Which daemon gathers the shares of a client account.

Answers a large fleet with many small accounts: an account sends a few requests
a second to any of some thirty entries, and a thirtieth of its rate at each of
them refuses most of its bursts although the account is within its rate. All
entries lend their shares of an account to one of them, the owner, and ask it
for tokens. The loans keep the limit; two daemons that both take themselves for
the owner only divide the loans.
"""

from collections.abc import Iterable

from attrs import define, field

from geraniumshelf_core.membership.ranking import best_ranked
from geraniumshelf_core.shares.holding import Holding, held_shares, held_until
from geraniumshelf_core.shares.loans import TERM_NS, lend
from geraniumshelf_core.shares.quotas import Quotas, apply_loans
from geraniumshelf_core.units import Nanoseconds


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


def lend_all(
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
        term: Length of the loan, from ``loan_term``.
        now: Current time.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    held = held_shares(quotas.holding, now)
    given = lend(share.loans, owner, held, held, now, term)
    apply_loans(quotas, share, now)
    return given


def loan_term(holding: Holding, now: Nanoseconds) -> Nanoseconds:
    """Return for how long all held shares may be lent.

    A share that is itself borrowed goes back to its lender at the end of its
    own term.
    """
    return min(TERM_NS, held_until(holding, now) - now)
