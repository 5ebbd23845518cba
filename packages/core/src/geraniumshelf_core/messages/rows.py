"""Checks of the rows inside received messages."""

from geraniumshelf_core.errors import PeerError, ResultCode


def check_rows(rows: tuple[object, ...], types: tuple[type, ...]) -> None:
    """Check that each row is a tuple of exactly these types.

    Raises:
        PeerError: ``PEER_FRAME_MALFORMED`` otherwise.
    """
    for row in rows:
        cells = row if isinstance(row, tuple) else ()
        if tuple(type(cell) for cell in cells) != types:
            raise PeerError(
                ResultCode.PEER_FRAME_MALFORMED, 'wrong fields in a row'
            )
