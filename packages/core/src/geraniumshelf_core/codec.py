"""CBOR frames between daemons."""

from typing import Any, Final, get_origin, get_type_hints

import cbor2
from attrs import astuple, fields, frozen

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.messages.registry import MESSAGE_KINDS

PROTOCOL_VERSION: Final = 1

_HEADER_LENGTH: Final = 4
_NUMBERS: Final = {message: kind for kind, message in MESSAGE_KINDS.items()}
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
    """A message with its place in the exchange.

    Attributes:
        clock: Logical clock of the sender.
        correlation_id: Number that binds an answer to its request; 0 for none.
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
            _NUMBERS[type(frame.message)],
            frame.clock,
            frame.correlation_id,
            *astuple(frame.message, recurse=False),
        ]
    )


def decode_frame(encoded: bytes) -> Frame:
    """Decode a frame from the wire.

    Raises:
        PeerError: ``PEER_VERSION`` for another protocol version,
            ``PEER_FRAME_MALFORMED`` for anything else that is not a frame.
    """
    try:
        row = cbor2.loads(encoded)
    except Exception as error:
        raise _malformed('not CBOR') from error
    if not isinstance(row, list) or len(row) < _HEADER_LENGTH:
        raise _malformed('not an array with a header')
    if any(type(number) is not int for number in row[:_HEADER_LENGTH]):
        raise _malformed('header is not made of integers')
    version, kind, clock, correlation = row[:_HEADER_LENGTH]
    if version != PROTOCOL_VERSION:
        raise PeerError(ResultCode.PEER_VERSION, f'version {version}')
    if clock < 0 or correlation < 0:
        raise _malformed('negative clock or correlation id')
    return Frame(clock, correlation, _decode_message(kind, row))


def _decode_message(kind: int, row: list[Any]) -> Any:
    message_type = MESSAGE_KINDS.get(kind)
    if message_type is None:
        raise _malformed(f'unknown message kind {kind}')
    types = _FIELD_TYPES[message_type]
    contents = [_freeze(item) for item in row[_HEADER_LENGTH:]]
    if tuple(type(item) for item in contents) != types:
        raise _malformed(f'wrong fields for {message_type.__name__}')
    return message_type(*contents)


def _freeze(item: Any) -> Any:
    if isinstance(item, list):
        return tuple(_freeze(part) for part in item)
    return item


def _malformed(detail: str) -> PeerError:
    return PeerError(ResultCode.PEER_FRAME_MALFORMED, detail)
