"""Datagrams between daemons, encoded in CBOR."""

from typing import Any, Final

import cbor2
from attrs import astuple

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.notices import DepartureNotice
from geraniumshelf_core.presence.state import PresenceHeartbeat
from geraniumshelf_core.shares.messages import (
    ShareLoan,
    ShareRequest,
    TokenGrant,
    TokenRequest,
    WholeShareLoan,
    WholeShareRequest,
)

_FORMAT: Final = 6
Message = (
    PresenceHeartbeat
    | ShareRequest
    | ShareLoan
    | WholeShareRequest
    | WholeShareLoan
    | TokenRequest
    | TokenGrant
    | DepartureNotice
)

_KINDS: Final = (
    PresenceHeartbeat,
    ShareRequest,
    ShareLoan,
    WholeShareRequest,
    WholeShareLoan,
    TokenRequest,
    TokenGrant,
    DepartureNotice,
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
}


def encode_message(message: Message) -> bytes:
    """Return a message as a datagram."""
    kind = _KINDS.index(type(message))
    fields = astuple(message, recurse=False)
    return cbor2.dumps((_FORMAT, kind, *fields), default=_encode_revision)


def decode_message(datagram: bytes) -> Message | None:
    """Return the message in a datagram, ``None`` if it holds none."""
    try:
        version, kind, *fields = cbor2.loads(datagram)
        wanted = _KINDS[kind]
    except Exception:
        return None
    types = _FIELD_TYPES[wanted]
    if version != _FORMAT or len(fields) != len(types):
        return None
    if not all(map(isinstance, fields, types)):
        return None
    return wanted(*map(_clean, fields))


def _encode_revision(encoder: cbor2.CBOREncoder, revision: Any) -> None:
    if not isinstance(revision, StoreRevision):
        raise TypeError(f'{type(revision).__name__} has no encoding')
    encoder.encode([revision.era, revision.number])


def _clean(field: Any) -> Any:
    match field:
        case [[int(), int()], *_]:
            return tuple(
                StoreRevision(*one)
                for one in field
                if isinstance(one, list) and list(map(type, one)) == [int, int]
            )
        case list():
            return tuple(one for one in field if isinstance(one, str | int))
        case dict():
            return {
                name: float(part)
                for name, part in field.items()
                if isinstance(name, str) and isinstance(part, int | float)
            }
        case _:
            return field
