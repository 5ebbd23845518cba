"""Messages that move allowances between daemons."""

from attrs import frozen


@frozen
class LoanRequest:
    """Asks for floors and extends the loans that the sender holds.

    Attributes:
        held_loans: Numbers of the loans to extend.
        wanted_accounts: Tags of the accounts that the sender owns.
    """

    held_loans: tuple[int, ...]
    wanted_accounts: tuple[int, ...]


@frozen
class LoanGrant:
    """Answers a loan request.

    Attributes:
        renewed: Numbers of the loans extended at their size.
        resized: Loan number, rate and capacity of those made smaller.
        new_loans: Account tag, loan number, rate, capacity and tokens of new
            loans, in micro-tokens (a second).
    """

    renewed: tuple[int, ...]
    resized: tuple[tuple[int, int, int], ...]
    new_loans: tuple[tuple[int, int, int, int, int], ...]


@frozen
class LoanReturn:
    """Gives loans back before their term.

    Attributes:
        returned: Loan number and micro-tokens of each.
    """

    returned: tuple[tuple[int, int], ...]


@frozen
class TokenRequest:
    """Asks the owner of an account for tokens.

    Attributes:
        account: Tag of the account.
        count: Tokens needed now.
        prefetch: Further tokens for demand that is expected.
        wait_ms: Longest wait for a token that is sure to come, milliseconds.
        settled: Loan number and tokens used of earlier loans.
    """

    account: int
    count: int
    prefetch: int
    wait_ms: int
    settled: tuple[tuple[int, int], ...]


@frozen
class TokenGrant:
    """Answers a token request.

    Attributes:
        loan: Number of the token loan.
        count: Tokens lent; 0 for a refusal.
        pause_ms: Time in which further requests need not ask, because they
            would be refused, milliseconds.
    """

    loan: int
    count: int
    pause_ms: int


@frozen
class TokenSettled:
    """Reports used tokens of token loans.

    Attributes:
        settled: Loan number and tokens of each.
    """

    settled: tuple[tuple[int, int], ...]
