"""Guards the numbering of result codes."""

from geraniumshelf_core.errors import GeraniumshelfError, ResultCode


def test_message_carries_number_and_name() -> None:
    """A message without its number cannot be looked up by an operator."""
    error = GeraniumshelfError(ResultCode.RATE_EXCEEDED, 'too fast')
    assert str(error) == '2007 RATE_EXCEEDED: too fast'


def test_codes_are_grouped_by_thousands() -> None:
    """A code outside its group would be listed under the wrong heading."""
    assert all(1000 < code < 6000 for code in ResultCode)
