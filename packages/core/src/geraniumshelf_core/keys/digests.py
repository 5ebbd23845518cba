"""Digests of keys and lookups of keys by digest."""

import hashlib
import hmac
from collections.abc import Mapping

from attrs import field, frozen

from geraniumshelf_core.configuration.model import Configuration, Key


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode('utf-8', 'surrogateescape')).hexdigest()


@frozen
class KeyIndex:
    """The keys of one configuration revision, indexed by digest.

    Build it once per revision.

    Attributes:
        keys: Accepted keys by digest.
        withdrawn: Digests of withdrawn keys.
    """

    keys: Mapping[str, Key] = field(repr=False)
    withdrawn: frozenset[str] = field(repr=False)


def build_key_index(configuration: Configuration) -> KeyIndex:
    """Return an index of the keys of a configuration."""
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
    """Return the configuration of a key, ``None`` if it is not accepted."""
    digest = digest_key(key)
    found = index.keys.get(digest)
    # Keys are looked up by digest, so the timing of the lookup reveals nothing
    # about them. The final comparison takes constant time nevertheless.
    if found is None or not hmac.compare_digest(found.digest, digest):
        return None
    return found


def is_withdrawn(index: KeyIndex, key: str) -> bool:
    """Return whether a key was accepted before and has been withdrawn."""
    return digest_key(key) in index.withdrawn
