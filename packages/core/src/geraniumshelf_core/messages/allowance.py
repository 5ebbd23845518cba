"""Messages that lend and return allowances between daemons."""

from attrs import frozen


@frozen
class LoanRequest:
    """A request for floors of accounts and for the renewal of held loans.

    Attributes:
        held_loans: Numbers of the loans to renew.
        wanted_accounts: Tags of the accounts that the sender owns and for
            which it requests floors.
    """

    held_loans: tuple[int, ...]
    wanted_accounts: tuple[int, ...]


@frozen
class LoanGrant:
    """The reply to a loan request.

    Attributes:
        renewed: Numbers of the loans renewed at their former size.
        resized: Loan number, rate and capacity of each loan that was renewed
            at a smaller size.
        new_loans: Account tag, loan number, rate, capacity and tokens of each
            new loan. Rates are in micro-tokens a second, capacities and
            tokens in micro-tokens.
    """

    renewed: tuple[int, ...]
    resized: tuple[tuple[int, int, int], ...]
    new_loans: tuple[tuple[int, int, int, int, int], ...]


@frozen
class LoanReturn:
    """The return of loans before the end of their term.

    Attributes:
        returned: Loan number and unused micro-tokens of each loan.
    """

    returned: tuple[tuple[int, int], ...]


@frozen
class TokenRequest:
    """A request for tokens to the owner of an account.

    Attributes:
        account: Tag of the account.
        count: Tokens needed now.
        prefetch: Further tokens requested for expected demand.
        wait_ms: Longest acceptable wait for a token that is certain to become
            available, milliseconds.
        settled: Loan number and used tokens of each earlier loan.
    """

    account: int
    count: int
    prefetch: int
    wait_ms: int
    settled: tuple[tuple[int, int], ...]


@frozen
class TokenGrant:
    """The reply to a token request.

    Attributes:
        loan: Number of the token loan.
        count: Tokens lent; 0 for a refusal.
        pause_ms: Time for which the receiver need not ask again, because it
            would be refused, milliseconds.
    """

    loan: int
    count: int
    pause_ms: int


@frozen
class TokenSettled:
    """A report of the used tokens of token loans.

    Attributes:
        settled: Loan number and used tokens of each loan.
    """

    settled: tuple[tuple[int, int], ...]
