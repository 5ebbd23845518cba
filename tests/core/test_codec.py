"""Tests the encoding of frames and the rejection of malformed ones."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.configuration import ConfigurationRequest
from geraniumshelf_core.messages.membership import Heartbeat


def test_heartbeat_survives_the_wire() -> None:
    """A field lost in encoding would hide a member or a revision."""
    heartbeat = Heartbeat(7, 1, 3, 'addis-a/0', 2, False, -1)
    frame = Frame(5, 9, heartbeat)
    assert decode_frame(encode_frame(frame)) == frame


def test_tuples_come_back_as_tuples() -> None:
    """A list in a decoded message would break hashing and equality."""
    frame = Frame(1, 0, ConfigurationRequest(('a', 'b')))
    assert decode_frame(encode_frame(frame)) == frame


def test_other_version_is_named() -> None:
    """A peer of another version must be distinguished from a broken one."""
    with pytest.raises(PeerError) as caught:
        decode_frame(cbor2.dumps([2, 2, 0, 0]))
    assert caught.value.code is ResultCode.PEER_VERSION


@given(st.binary(max_size=64))
def test_random_bytes_are_refused_or_decoded(encoded: bytes) -> None:
    """Any other exception would end the link task without a result code."""
    try:
        decode_frame(encoded)
    except PeerError as error:
        assert error.code in {
            ResultCode.PEER_VERSION,
            ResultCode.PEER_FRAME_MALFORMED,
        }


@given(
    st.lists(
        st.one_of(st.integers(), st.text(max_size=4), st.booleans()),
        max_size=12,
    )
)
def test_random_rows_are_refused_or_decoded(row: list[object]) -> None:
    """A message with a field of a wrong type must not reach its handler."""
    try:
        decode_frame(cbor2.dumps([1, 2, 0, 0, *row]))
    except PeerError as error:
        assert error.code is ResultCode.PEER_FRAME_MALFORMED
