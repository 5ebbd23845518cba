"""Encodes and decodes the CBOR datagrams between daemons."""

from typing import Any, Final

import cbor2
from attrs import astuple

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.demand import DemandReport
from geraniumshelf_core.placement.notices import DepartureNotice
from geraniumshelf_core.placement.readings import ServerReadings
from geraniumshelf_core.placement.server_limits import LimitNotice
from geraniumshelf_core.presence.state import PresenceHeartbeat
from geraniumshelf_core.shares.messages import (
    LoanTokens,
    ShareLoan,
    ShareRequest,
    TokenGrant,
    TokenRequest,
    WholeShareLoan,
    WholeShareRequest,
)
from geraniumshelf_core.shares.permits import PermitGrant, PermitRequest

_FORMAT_VERSION: Final = 6
Message = (
    PresenceHeartbeat
    | ShareRequest
    | ShareLoan
    | WholeShareRequest
    | WholeShareLoan
    | TokenRequest
    | TokenGrant
    | DepartureNotice
    | LimitNotice
    | PermitRequest
    | PermitGrant
    | ServerReadings
    | DemandReport
    | LoanTokens
)

# The index of a type in this tuple identifies it in datagrams.
_MESSAGE_TYPES: Final = (
    PresenceHeartbeat,
    ShareRequest,
    ShareLoan,
    WholeShareRequest,
    WholeShareLoan,
    TokenRequest,
    TokenGrant,
    DepartureNotice,
    LimitNotice,
    PermitRequest,
    PermitGrant,
    ServerReadings,
    DemandReport,
    LoanTokens,
)
_NUMBER: Final = (int, float)
_FIELD_TYPES: Final = {
    PresenceHeartbeat: (
        str,
        int,
        int,
        str,
        str,
        str,
        bool,
        bool,
        _NUMBER,
        _NUMBER,
        int,
        list,
        int,
        int,
        int,
        int,
        int,
        list,
    ),
    ShareRequest: (str, int, dict),
    ShareLoan: (str, int, int, dict),
    WholeShareRequest: (str, int),
    WholeShareLoan: (str, int),
    TokenRequest: (str, int, str, int),
    TokenGrant: (int, str, int, int),
    DepartureNotice: (str, int),
    LimitNotice: (str, int, (int, float, type(None)), int),
    PermitRequest: (str, int, str, int, _NUMBER, int, int),
    PermitGrant: (str, int, str, int, int, int),
    ServerReadings: (str, list, list),
    DemandReport: (str, str, int, dict, dict),
    LoanTokens: (str, int, int, dict),
}


def encode_message(message: Message) -> bytes:
    """Encode a message as a datagram."""
    type_index = _MESSAGE_TYPES.index(type(message))
    fields = astuple(message, recurse=False)
    return cbor2.dumps(
        (_FORMAT_VERSION, type_index, *fields), default=_encode_revision
    )


def decode_message(datagram: bytes) -> Message | None:
    """Decode a datagram; return ``None`` if it holds no valid message."""
    try:
        version, type_index, *fields = cbor2.loads(datagram)
        message_type = _MESSAGE_TYPES[type_index]
    except Exception:
        return None
    field_types = _FIELD_TYPES[message_type]
    if version != _FORMAT_VERSION or len(fields) != len(field_types):
        return None
    if not all(map(isinstance, fields, field_types)):
        return None
    return message_type(*map(_convert_field, fields))


def _encode_revision(encoder: cbor2.CBOREncoder, revision: Any) -> None:
    if not isinstance(revision, StoreRevision):
        raise TypeError(f'cannot encode {type(revision).__name__} in CBOR')
    encoder.encode([revision.era, revision.number])


def _convert_field(field: Any) -> Any:
    match field:
        case [[int(), int()], *_]:
            return tuple(
                StoreRevision(*element)
                for element in field
                if isinstance(element, list)
                and list(map(type, element)) == [int, int]
            )
        case list():
            return tuple(
                element for element in field if isinstance(element, str | int)
            )
        case dict():
            return {
                name: float(share)
                for name, share in field.items()
                if isinstance(name, str) and isinstance(share, int | float)
            }
        case _:
            return field
