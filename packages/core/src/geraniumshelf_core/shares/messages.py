"""Messages between daemons about their shares of limits."""

from attrs import frozen

from geraniumshelf_core.units import Nanoseconds


@frozen
class ShareRequest:
    """A question for a part of the shares of client accounts.

    Attributes:
        name: Instance that asks.
        requested_at: Time of the question by its own clock.
        wanted: Wanted part by account, in shares of one daemon.
    """

    name: str
    requested_at: Nanoseconds
    wanted: dict[str, float]


@frozen
class ShareLoan:
    """The answer to a ``ShareRequest``.

    Attributes:
        name: Instance that lends.
        requested_at: Time of the question by the borrower's clock.
        term: Length of the loan, nanoseconds from the question.
        lent: Lent part by account, in shares of one daemon.
    """

    name: str
    requested_at: Nanoseconds
    term: Nanoseconds
    lent: dict[str, float]


@frozen
class WholeShareRequest:
    """A question of an entry for the whole share of a standby.

    Attributes:
        name: Instance that asks.
        requested_at: Time of the question by its own clock.
    """

    name: str
    requested_at: Nanoseconds


@frozen
class WholeShareLoan:
    """The answer to a ``WholeShareRequest``.

    Attributes:
        name: Instance that lends.
        requested_at: Time of the question by the borrower's clock.
    """

    name: str
    requested_at: Nanoseconds


@frozen
class TokenRequest:
    """A question for tokens of an account whose requests wait.

    Attributes:
        name: Instance that asks.
        requested_at: Time of the question by its own clock.
        account: Client account.
        wanted: How many.
    """

    name: str
    requested_at: Nanoseconds
    account: str
    wanted: int


@frozen
class TokenGrant:
    """The answer to a ``TokenRequest``.

    Attributes:
        requested_at: Time of the question by the clock of the one that asked.
        account: Client account.
        granted: Tokens that left the bucket of the one that answers.
        wait: Time until it has more, nanoseconds; 0 if that is not said.
    """

    requested_at: Nanoseconds
    account: str
    granted: int
    wait: Nanoseconds
