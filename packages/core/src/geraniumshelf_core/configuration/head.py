"""The head object, which names the revision in force and its parts."""

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

_HEAD_FORMAT_VERSION: Final = 1
_DIGEST_PATTERN: Final = re.compile('[0-9a-f]{64}', re.ASCII)


@frozen
class RetiredPart:
    """A part that the configuration in force no longer uses.

    Attributes:
        digest: Digest of the part.
        revision: The first revision without it.
    """

    digest: str
    revision: int


@frozen
class Head:
    """A revision and the parts that it consists of.

    Attributes:
        revision: Revision number, 0 before the first apply.
        digests: Digests of its parts, in order.
        recent_apply_ids: Ids of the last 64 applies, newest last.
        retired: Parts that the previous 16 heads used and this one does not.
    """

    revision: int = 0
    digests: tuple[str, ...] = ()
    recent_apply_ids: tuple[str, ...] = ()
    retired: tuple[RetiredPart, ...] = ()


def next_head(head: Head, digests: Iterable[str], apply_id: str) -> Head:
    """Return the head of the next revision."""
    revision = head.revision + 1
    used = tuple(sorted(digests))
    newly_retired = [RetiredPart(digest, revision) for digest in head.digests]
    retired = [
        part
        for part in (*head.retired, *newly_retired)
        if part.digest not in used
        and part.revision > revision - RETAINED_HEAD_COUNT
    ]
    apply_ids = (*head.recent_apply_ids, apply_id)
    return Head(
        revision, used, apply_ids[-MAX_RECENT_APPLY_IDS:], tuple(retired)
    )


def expired_parts(old: Head, new: Head) -> tuple[str, ...]:
    """Return digests of the parts that no retained head uses."""
    retained = {*new.digests, *(part.digest for part in new.retired)}
    known = {*old.digests, *(part.digest for part in old.retired)}
    return tuple(sorted(known - retained))


def encode_head(head: Head) -> bytes:
    """Encode a head in canonical CBOR."""
    row = [
        _HEAD_FORMAT_VERSION,
        head.revision,
        [bytes.fromhex(digest) for digest in head.digests],
        list(head.recent_apply_ids),
        [[bytes.fromhex(part.digest), part.revision] for part in head.retired],
    ]
    return cbor2.dumps(row, canonical=True)


def decode_head(encoded: bytes) -> Head:
    """Decode a head.

    Raises:
        ConfigurationError: ``DAMAGED_PART`` if it cannot be decoded.
    """
    try:
        return _decode_row(cbor2.loads(encoded))
    except Exception as error:
        raise ConfigurationError(
            ResultCode.DAMAGED_PART, f'{HEAD_NAME}: cannot be decoded'
        ) from error


def _decode_row(row: Any) -> Head:
    version, revision, digests, apply_ids, retired = row
    numbers = [revision, *(number for _, number in retired)]
    if version != _HEAD_FORMAT_VERSION or any(
        type(number) is not int for number in numbers
    ):
        raise ValueError('unknown format version or wrong type of a number')
    if min(numbers) < 0 or any(type(text) is not str for text in apply_ids):
        raise ValueError('negative revision or apply id that is not a string')
    return Head(
        revision,
        tuple(_to_hex_digest(digest) for digest in digests),
        tuple(apply_ids),
        tuple(
            RetiredPart(_to_hex_digest(digest), number)
            for digest, number in retired
        ),
    )


def _to_hex_digest(digest: bytes) -> str:
    text = digest.hex()
    if _DIGEST_PATTERN.fullmatch(text) is None:
        raise ValueError('not a SHA-256 digest')
    return text
