"""Checks of rows in received messages about allowances."""

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.allowance import LoanGrant
from geraniumshelf_core.messages.rows import check_rows

_Rows = tuple[tuple[int, ...], ...]


def check_loan_amounts(loan_amounts: tuple[tuple[int, int], ...]) -> None:
    """Check rows of a loan id and an amount.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` if a row has another shape or a
            negative number.
    """
    _check_rows(loan_amounts, 2)


def check_non_negative(*number_lists: tuple[int, ...]) -> None:
    """Check lists of numbers, such as loan ids or account tags.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` if an item is not an integer or is
            negative.
    """
    for numbers in number_lists:
        _check_rows(tuple((number,) for number in numbers), 1)


def check_grant(grant: LoanGrant) -> None:
    """Check the rows of a loan grant.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` if a row has another shape or a
            negative number.
    """
    check_non_negative(grant.renewed)
    _check_rows(grant.resized, 3)
    _check_rows(grant.new_loans, 5)


def _check_rows(rows: _Rows, width: int) -> None:
    check_rows(rows, (int,) * width)
    if any(value < 0 for row in rows for value in row):
        raise PeerError(
            ResultCode.PEER_FRAME_MALFORMED, 'row contains a negative number'
        )
