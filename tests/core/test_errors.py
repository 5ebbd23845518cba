"""Tests the numbering of result codes and the form of error messages."""

from geraniumshelf_core.errors import GeraniumshelfError, ResultCode


def test_message_carries_number_and_name() -> None:
    """An operator could not look up a message without its number."""
    error = GeraniumshelfError(ResultCode.RATE_EXCEEDED, 'too fast')
    assert str(error) == '2007 RATE_EXCEEDED: too fast'


def test_codes_are_grouped_by_thousands() -> None:
    """A code outside its group would be listed under the wrong heading."""
    assert all(1000 < code < 6000 for code in ResultCode)
