"""Messages between daemons about their shares of limits."""

from attrs import frozen

from geraniumshelf_core.units import Nanoseconds


@frozen
class ShareRequest:
    """Request for loans of the shares of client accounts.

    Attributes:
        name: Instance that sends the request.
        requested_at: Time of the request on the clock of the sender.
        wanted: Requested amount by account, in shares of one daemon.
    """

    name: str
    requested_at: Nanoseconds
    wanted: dict[str, float]


@frozen
class ShareLoan:
    """Reply to a ``ShareRequest``.

    Attributes:
        name: Instance that lends.
        requested_at: Time of the request on the clock of the borrower.
        term: Length of the loan, nanoseconds from the request.
        lent: Amount lent by account, in shares of one daemon.
    """

    name: str
    requested_at: Nanoseconds
    term: Nanoseconds
    lent: dict[str, float]


@frozen
class WholeShareRequest:
    """Request of an entry instance for the whole share of a standby.

    Attributes:
        name: Instance that sends the request.
        requested_at: Time of the request on the clock of the sender.
    """

    name: str
    requested_at: Nanoseconds


@frozen
class WholeShareLoan:
    """Reply to a ``WholeShareRequest``.

    Attributes:
        name: Instance that lends.
        requested_at: Time of the request on the clock of the borrower.
    """

    name: str
    requested_at: Nanoseconds


@frozen
class LoanTokens:
    """Tokens that are transferred with a ``WholeShareLoan`` or ``ShareLoan``.

    Attributes:
        lender: Instance that lends.
        requested_at: Time of the request on the clock of the borrower.
        unused: Time for which nobody has used the lent whole share,
            nanoseconds; 0 for a loan of single accounts.
        tokens: Tokens that have left the buckets of the lender, by account.
    """

    lender: str
    requested_at: Nanoseconds
    unused: Nanoseconds
    tokens: dict[str, float]


@frozen
class TokenRequest:
    """Request for tokens of an account that has waiting requests.

    Attributes:
        name: Instance that sends the request.
        requested_at: Time of the request on the clock of the sender.
        account: Client account.
        wanted: Number of tokens.
    """

    name: str
    requested_at: Nanoseconds
    account: str
    wanted: int


@frozen
class TokenGrant:
    """Reply to a ``TokenRequest``.

    Attributes:
        requested_at: Time of the request on the clock of its sender.
        account: Client account.
        granted: Tokens taken out of the bucket of the replying daemon.
        wait: Time until that daemon has more, nanoseconds; 0 if not stated.
    """

    requested_at: Nanoseconds
    account: str
    granted: int
    wait: Nanoseconds
