"""Content-addressed parts of a configuration."""

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

_PART_VERSION: Final = 1
_SETTINGS: Final = 'settings'
_SETTING_NAMES: Final = ('deployment', 'drained', 'slot_hold_s', 'lowered')
# Keys and accounts change most often; many shards keep each change small.
_INITIAL_SHARDS: Final = {'accounts': 16, 'keys': 64, 'withdrawn': 64}
_MAX_SHARDS: Final = 65_536
_HINTS: Final = get_type_hints(Configuration)


def split_parts(configuration: Configuration) -> dict[str, bytes]:
    """Return encoded parts by their digests.

    Raises:
        ConfigurationError: ``OBJECT_TOO_LARGE`` if an entry fits no part.
    """
    ordered = sort_entries(configuration)
    encoded = [
        _encode(_SETTINGS, [getattr(ordered, n) for n in _SETTING_NAMES])
    ]
    for kind in COLLECTIONS:
        encoded.extend(_encode_collection(kind, getattr(ordered, kind)))
    return {part_digest(part): part for part in encoded}


def join_parts(
    digests: Iterable[str], parts: Mapping[str, bytes]
) -> Configuration:
    """Return the configuration that the named parts make up.

    Raises:
        ConfigurationError: ``DAMAGED_PART`` for a part that is missing, does
            not have its digest or cannot be decoded.
    """
    settings: dict[str, Any] = {}
    rows: defaultdict[str, list[Any]] = defaultdict(list)
    for digest in digests:
        kind, decoded = _decode(digest, parts.get(digest))
        if kind == _SETTINGS:
            settings.update(_decode_settings(digest, decoded))
        else:
            rows[kind].extend(decoded)
    if not settings:
        raise _damaged('settings', 'missing')
    entries: dict[str, Any] = {
        kind: tuple(found) for kind, found in rows.items()
    }
    return sort_entries(Configuration(**settings, **entries))


def part_digest(part: bytes) -> str:
    """Return the digest by which a part is stored, hexadecimal SHA-256."""
    return hashlib.sha256(part).hexdigest()


def _encode_collection(kind: str, entries: tuple[Any, ...]) -> list[bytes]:
    shards = _INITIAL_SHARDS.get(kind, 1)
    while shards <= _MAX_SHARDS:
        encoded = _encode_shards(kind, entries, shards)
        if all(len(part) < MAX_PART_BYTES for part in encoded):
            return encoded
        shards *= 2
    raise ConfigurationError(
        ResultCode.OBJECT_TOO_LARGE,
        f'{kind}: no division into parts below {MAX_PART_BYTES} bytes',
    )


def _encode_shards(
    kind: str, entries: tuple[Any, ...], shards: int
) -> list[bytes]:
    sharded: defaultdict[int, list[Any]] = defaultdict(list)
    for entry in entries:
        name = '\n'.join(identity_of(entry)).encode()
        shard = hashlib.sha256(name).digest()[:4]
        sharded[int.from_bytes(shard) % shards].append(entry)
    return [_encode(kind, sharded[shard]) for shard in sorted(sharded)]


def _encode(kind: str, rows: list[Any]) -> bytes:
    return cbor2.dumps([_PART_VERSION, kind, _plain(rows)], canonical=True)


def _plain(item: Any) -> Any:
    if isinstance(item, Enum):
        return item.value
    if has(type(item)):
        return [_plain(part) for part in astuple(item, recurse=False)]
    if isinstance(item, (tuple, list)):
        return [_plain(part) for part in item]
    return item


def _decode(digest: str, part: bytes | None) -> tuple[str, list[Any]]:
    if part is None:
        raise _damaged(digest, 'missing')
    if part_digest(part) != digest:
        raise _damaged(digest, 'content does not have this digest')
    try:
        return _decode_rows(cbor2.loads(part))
    except Exception as error:
        raise _damaged(digest, 'not decodable') from error


def _decode_rows(decoded: Any) -> tuple[str, list[Any]]:
    version, kind, rows = decoded
    if version != _PART_VERSION or type(rows) is not list:
        raise ValueError('unknown version')
    if kind == _SETTINGS:
        return kind, rows
    if kind not in COLLECTIONS:
        raise ValueError('unknown kind')
    (entry_type, _) = get_args(_HINTS[kind])
    return kind, [_rebuild(entry_type, row) for row in rows]


def _decode_settings(digest: str, rows: list[Any]) -> dict[str, Any]:
    try:
        return {
            name: _rebuild(_HINTS[name], row)
            for name, row in zip(_SETTING_NAMES, rows, strict=True)
        }
    except (TypeError, ValueError) as error:
        raise _damaged(digest, 'not decodable') from error


def _rebuild(kind: Any, plain: Any) -> Any:
    if get_origin(kind) is tuple:
        return _rebuild_tuple(get_args(kind), plain)
    if has(kind):
        hints = get_type_hints(kind).values()
        return kind(*_rebuild_each(hints, plain))
    if issubclass(kind, Enum):
        return kind(plain)
    if type(plain) is not kind:
        raise TypeError('value of another type')
    return plain


def _rebuild_tuple(kinds: tuple[Any, ...], plain: Any) -> tuple[Any, ...]:
    if kinds[-1] is Ellipsis:
        return tuple(_rebuild(kinds[0], part) for part in plain)
    return tuple(_rebuild_each(kinds, plain))


def _rebuild_each(kinds: Iterable[Any], plain: Any) -> list[Any]:
    return [
        _rebuild(kind, part) for kind, part in zip(kinds, plain, strict=True)
    ]


def _damaged(digest: str, reason: str) -> ConfigurationError:
    return ConfigurationError(
        ResultCode.DAMAGED_PART, f'config/part/{digest}: {reason}'
    )
