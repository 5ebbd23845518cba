"""Encoding of messages between daemons as CBOR frames.

A frame is an array of protocol version, message kind, logical clock and
correlation id, followed by the fields of the message in their order.
"""

from typing import Any, Final, get_origin, get_type_hints

import cbor2
from attrs import astuple, fields, frozen

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.registry import MESSAGE_KINDS

PROTOCOL_VERSION: Final = 1

_HEADER_FIELDS: Final = 4
_KIND_NUMBERS: Final = {
    message: kind for kind, message in MESSAGE_KINDS.items()
}
_FIELD_TYPES: Final = {
    message: tuple(
        get_origin(get_type_hints(message)[attribute.name])
        or get_type_hints(message)[attribute.name]
        for attribute in fields(message)
    )
    for message in MESSAGE_KINDS.values()
}


@frozen
class Frame:
    """A message together with its header fields.

    Attributes:
        clock: Logical clock of the sender.
        correlation_id: Number that a request and its reply share, 0 for a
            message that is neither.
        message: One of the registered messages.
    """

    clock: int
    correlation_id: int
    message: Any


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame for the wire."""
    return cbor2.dumps(
        [
            PROTOCOL_VERSION,
            _KIND_NUMBERS[type(frame.message)],
            frame.clock,
            frame.correlation_id,
            *astuple(frame.message, recurse=False),
        ]
    )


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame from the wire.

    Raises:
        PeerError: ``PEER_VERSION`` for another protocol version,
            ``PEER_FRAME_MALFORMED`` for anything else that is not a valid
            frame.
    """
    try:
        row = cbor2.loads(encoded)
    except Exception as error:
        raise _malformed('the frame is not valid CBOR') from error
    if not isinstance(row, list) or len(row) < _HEADER_FIELDS:
        raise _malformed('the frame is not an array that starts with a header')
    if any(type(number) is not int for number in row[:_HEADER_FIELDS]):
        raise _malformed('the frame header has a field that is not an integer')
    version, kind, clock, correlation = row[:_HEADER_FIELDS]
    if version != PROTOCOL_VERSION:
        raise PeerError(
            ResultCode.PEER_VERSION,
            f'protocol version {version}, expected {PROTOCOL_VERSION}',
        )
    if clock < 0 or correlation < 0:
        raise _malformed('negative clock or correlation id in the frame header')
    return Frame(clock, correlation, _decode_message(kind, row))


def _decode_message(kind: int, row: list[Any]) -> Any:
    message_type = MESSAGE_KINDS.get(kind)
    if message_type is None:
        raise _malformed(f'unknown message kind {kind}')
    types = _FIELD_TYPES[message_type]
    contents = [_to_tuples(item) for item in row[_HEADER_FIELDS:]]
    if tuple(type(item) for item in contents) != types:
        raise _malformed(
            f'wrong number or types of fields in a {message_type.__name__}'
        )
    return message_type(*contents)


def _to_tuples(item: Any) -> Any:
    if isinstance(item, list):
        return tuple(_to_tuples(part) for part in item)
    return item


def _malformed(detail: str) -> PeerError:
    return PeerError(ResultCode.PEER_FRAME_MALFORMED, detail)
