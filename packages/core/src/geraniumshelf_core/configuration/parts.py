"""Encoding of a configuration as content-addressed parts."""

import hashlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any, Final, get_args, get_origin, get_type_hints

import cbor2
from attrs import astuple, has

from geraniumshelf_core.configuration.identity import (
    COLLECTIONS,
    identity_of,
    sort_entries,
)
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.errors import ConfigurationError, ResultCode

MAX_PART_BYTES: Final = 262_144

_PART_FORMAT_VERSION: Final = 1
_SETTINGS: Final = 'settings'
_SETTING_NAMES: Final = ('deployment', 'drained', 'slot_hold_s', 'lowered')
# Keys and accounts change most often. With many shards, the part that a
# change replaces is small.
_INITIAL_SHARDS: Final = {'accounts': 16, 'keys': 64, 'withdrawn': 64}
_MAX_SHARDS: Final = 65_536
_FIELD_TYPES: Final = get_type_hints(Configuration)


def split_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return the encoded parts of a configuration by their digests.

    Raises:
        ConfigurationError: ``OBJECT_TOO_LARGE`` if a part exceeds the limit
            even with the maximum number of shards.
    """
    ordered = sort_entries(configuration)
    encoded = [
        _encode_part(
            _SETTINGS, [getattr(ordered, name) for name in _SETTING_NAMES]
        )
    ]
    for kind in COLLECTIONS:
        encoded.extend(_encode_collection(kind, getattr(ordered, kind)))
    return {part_digest(part): part for part in encoded}


def join_parts(
    digests: Iterable[str], parts: Mapping[str, bytes]
) -> Configuration:
    """Return the configuration that consists of the given parts.

    Raises:
        ConfigurationError: ``DAMAGED_PART`` for a part that is missing, does
            not match its digest or cannot be decoded.
    """
    settings: dict[str, Any] = {}
    rows: defaultdict[str, list[Any]] = defaultdict(list)
    for digest in digests:
        kind, decoded = _decode_part(digest, parts.get(digest))
        if kind == _SETTINGS:
            settings.update(_decode_settings(digest, decoded))
        else:
            rows[kind].extend(decoded)
    if not settings:
        raise _damaged_part_error('settings', 'missing')
    entries: dict[str, Any] = {
        kind: tuple(found) for kind, found in rows.items()
    }
    return sort_entries(Configuration(**settings, **entries))


def part_digest(part: bytes) -> str:
    """Return the SHA-256 digest that names a stored part, in hexadecimal."""
    return hashlib.sha256(part).hexdigest()


def _encode_collection(kind: str, entries: tuple[Any, ...]) -> list[bytes]:
    shard_count = _INITIAL_SHARDS.get(kind, 1)
    while shard_count <= _MAX_SHARDS:
        encoded = _encode_shards(kind, entries, shard_count)
        if all(len(part) < MAX_PART_BYTES for part in encoded):
            return encoded
        shard_count *= 2
    raise ConfigurationError(
        ResultCode.OBJECT_TOO_LARGE,
        f'{kind}: found a part that is too large with {_MAX_SHARDS} shards; '
        f'allowed: parts below {MAX_PART_BYTES} bytes',
    )


def _encode_shards(
    kind: str, entries: tuple[Any, ...], shard_count: int
) -> list[bytes]:
    sharded: defaultdict[int, list[Any]] = defaultdict(list)
    for entry in entries:
        name = '\n'.join(identity_of(entry)).encode()
        shard = hashlib.sha256(name).digest()[:4]
        sharded[int.from_bytes(shard) % shard_count].append(entry)
    return [_encode_part(kind, sharded[shard]) for shard in sorted(sharded)]


def _encode_part(kind: str, rows: list[Any]) -> bytes:
    return cbor2.dumps(
        [_PART_FORMAT_VERSION, kind, _to_plain(rows)], canonical=True
    )


def _to_plain(item: Any) -> Any:
    if isinstance(item, Enum):
        return item.value
    if has(type(item)):
        return [_to_plain(value) for value in astuple(item, recurse=False)]
    if isinstance(item, (tuple, list)):
        return [_to_plain(element) for element in item]
    return item


def _decode_part(digest: str, part: bytes | None) -> tuple[str, list[Any]]:
    if part is None:
        raise _damaged_part_error(digest, 'missing')
    if part_digest(part) != digest:
        raise _damaged_part_error(digest, 'content does not match the digest')
    try:
        return _decode_rows(cbor2.loads(part))
    except Exception as error:
        raise _damaged_part_error(digest, 'cannot be decoded') from error


def _decode_rows(decoded: Any) -> tuple[str, list[Any]]:
    version, kind, rows = decoded
    if version != _PART_FORMAT_VERSION or type(rows) is not list:
        raise ValueError('unknown format version, or rows that are not a list')
    if kind == _SETTINGS:
        return kind, rows
    if kind not in COLLECTIONS:
        raise ValueError('unknown collection')
    (entry_type, _) = get_args(_FIELD_TYPES[kind])
    return kind, [_from_plain(entry_type, row) for row in rows]


def _decode_settings(digest: str, rows: list[Any]) -> dict[str, Any]:
    try:
        return {
            name: _from_plain(_FIELD_TYPES[name], row)
            for name, row in zip(_SETTING_NAMES, rows, strict=True)
        }
    except (TypeError, ValueError) as error:
        raise _damaged_part_error(digest, 'cannot be decoded') from error


def _from_plain(value_type: Any, plain: Any) -> Any:
    if get_origin(value_type) is tuple:
        return _tuple_from_plain(get_args(value_type), plain)
    if has(value_type):
        hints = get_type_hints(value_type).values()
        return value_type(*_each_from_plain(hints, plain))
    if issubclass(value_type, Enum):
        return value_type(plain)
    if type(plain) is not value_type:
        raise TypeError('value of the wrong type')
    return plain


def _tuple_from_plain(types: tuple[Any, ...], plain: Any) -> tuple[Any, ...]:
    if types[-1] is Ellipsis:
        return tuple(_from_plain(types[0], element) for element in plain)
    return tuple(_each_from_plain(types, plain))


def _each_from_plain(types: Iterable[Any], plain: Any) -> list[Any]:
    return [
        _from_plain(value_type, element)
        for value_type, element in zip(types, plain, strict=True)
    ]


def _damaged_part_error(digest: str, reason: str) -> ConfigurationError:
    return ConfigurationError(
        ResultCode.DAMAGED_PART, f'config/part/{digest}: {reason}'
    )
