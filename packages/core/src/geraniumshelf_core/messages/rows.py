"""Validation of the rows in received messages."""

from geraniumshelf_core.errors import PeerError, ResultCode


def check_rows(rows: tuple[object, ...], types: tuple[type, ...]) -> None:
    """Check that each row is a tuple of exactly these types.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` if a row has other fields.
    """
    for row in rows:
        cells = row if isinstance(row, tuple) else ()
        if tuple(type(cell) for cell in cells) != types:
            raise PeerError(
                ResultCode.PEER_FRAME_MALFORMED,
                'wrong number or types of fields in a row of the message',
            )
