"""Checks of the rows in received messages about allowances."""

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.allowance import LoanGrant
from geraniumshelf_core.messages.rows import check_rows

_Rows = tuple[tuple[int, ...], ...]


def check_notes(notes: tuple[tuple[int, int], ...]) -> None:
    """Check pairs of a loan number and an amount.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` for other rows or a negative one.
    """
    _check(notes, 2)


def check_numbers(*lists: tuple[int, ...]) -> None:
    """Check lists of loan numbers or account tags.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` for other or negative numbers.
    """
    for numbers in lists:
        _check(tuple((number,) for number in numbers), 1)


def check_grant(grant: LoanGrant) -> None:
    """Check the rows of a loan grant.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` for other rows or a negative one.
    """
    check_numbers(grant.renewed)
    _check(grant.resized, 3)
    _check(grant.new_loans, 5)


def _check(rows: _Rows, width: int) -> None:
    check_rows(rows, (int,) * width)
    if any(cell < 0 for row in rows for cell in row):
        raise PeerError(
            ResultCode.PEER_FRAME_MALFORMED, 'negative number in a row'
        )
