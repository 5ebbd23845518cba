"""Digests of keys and the search for a key's account."""

import hashlib
import hmac
from collections.abc import Mapping

from attrs import field, frozen

from geraniumshelf_core.configuration.model import Configuration, Key


def digest_key(key: str) -> str:
    """Return the SHA-256 of a key, hexadecimal."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


@frozen
class KeyIndex:
    """The keys of one revision by their digests; build it once per revision.

    Attributes:
        keys: Accepted keys by digest.
        withdrawn: Digests of withdrawn keys.
    """

    keys: Mapping[str, Key] = field(repr=False)
    withdrawn: frozenset[str] = field(repr=False)


def build_key_index(configuration: Configuration) -> KeyIndex:
    """Index the keys of a configuration."""
    withdrawn = frozenset(key.digest for key in configuration.withdrawn)
    return KeyIndex(
        {
            key.digest: key
            for key in configuration.keys
            if key.digest not in withdrawn
        },
        withdrawn,
    )


def find_key(index: KeyIndex, key: str) -> Key | None:
    """Return the entry of a key, ``None`` if it is not accepted."""
    digest = digest_key(key)
    found = index.keys.get(digest)
    # The table is searched by digest, so its timing tells nothing about keys;
    # the final comparison takes constant time all the same.
    if found is None or not hmac.compare_digest(found.digest, digest):
        return None
    return found


def is_withdrawn(index: KeyIndex, key: str) -> bool:
    """Tell whether a key was accepted once and has been withdrawn."""
    return digest_key(key) in index.withdrawn
