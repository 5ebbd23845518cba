"""The head of the configuration: its revision and its parts."""

import re
from collections.abc import Iterable
from typing import Any, Final

import cbor2
from attrs import frozen

from geraniumshelf_core.errors import ConfigurationError, ResultCode

HEAD_NAME: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'
MAX_RECENT_APPLY_IDS: Final = 64
RETAINED_HEAD_COUNT: Final = 16

_HEAD_VERSION: Final = 1
_DIGEST: Final = re.compile('[0-9a-f]{64}', re.ASCII)


@frozen
class RetiredPart:
    """A part that no longer belongs to the configuration in force.

    Attributes:
        digest: Digest of the part.
        revision: The first revision without it.
    """

    digest: str
    revision: int


@frozen
class Head:
    """Names a revision and the parts that make it up.

    Attributes:
        revision: Number of the revision, 0 before the first.
        digests: Digests of its parts, in order.
        recent_apply_ids: Ids of the last 64 applies, the latest last.
        retired: Parts of the last 16 heads that this one does not use.
    """

    revision: int = 0
    digests: tuple[str, ...] = ()
    recent_apply_ids: tuple[str, ...] = ()
    retired: tuple[RetiredPart, ...] = ()


def next_head(head: Head, digests: Iterable[str], apply_id: str) -> Head:
    """Return the head of the next revision."""
    revision = head.revision + 1
    used = tuple(sorted(digests))
    newly = [RetiredPart(digest, revision) for digest in head.digests]
    retired = [
        part
        for part in (*head.retired, *newly)
        if part.digest not in used
        and part.revision > revision - RETAINED_HEAD_COUNT
    ]
    apply_ids = (*head.recent_apply_ids, apply_id)
    return Head(
        revision, used, apply_ids[-MAX_RECENT_APPLY_IDS:], tuple(retired)
    )


def expired_parts(old: Head, new: Head) -> tuple[str, ...]:
    """Return digests of parts that no retained head uses any longer."""
    retained = {*new.digests, *(part.digest for part in new.retired)}
    known = {*old.digests, *(part.digest for part in old.retired)}
    return tuple(sorted(known - retained))


def encode_head(head: Head) -> bytes:
    """Encode a head in canonical CBOR."""
    row = [
        _HEAD_VERSION,
        head.revision,
        [bytes.fromhex(digest) for digest in head.digests],
        list(head.recent_apply_ids),
        [[bytes.fromhex(p.digest), p.revision] for p in head.retired],
    ]
    return cbor2.dumps(row, canonical=True)


def decode_head(encoded: bytes) -> Head:
    """Decode a head.

    Raises:
        ConfigurationError: ``DAMAGED_PART`` for anything else.
    """
    try:
        return _decode(cbor2.loads(encoded))
    except Exception as error:
        raise ConfigurationError(
            ResultCode.DAMAGED_PART, f'{HEAD_NAME}: not decodable'
        ) from error


def _decode(row: Any) -> Head:
    version, revision, digests, apply_ids, retired = row
    numbers = [revision, *(number for _, number in retired)]
    if version != _HEAD_VERSION or any(type(n) is not int for n in numbers):
        raise ValueError('unknown version or wrong type')
    if min(numbers) < 0 or any(type(text) is not str for text in apply_ids):
        raise ValueError('negative revision or wrong type')
    return Head(
        revision,
        tuple(_hexadecimal(digest) for digest in digests),
        tuple(apply_ids),
        tuple(RetiredPart(_hexadecimal(d), n) for d, n in retired),
    )


def _hexadecimal(digest: bytes) -> str:
    text = digest.hex()
    if _DIGEST.fullmatch(text) is None:
        raise ValueError('not a digest')
    return text
