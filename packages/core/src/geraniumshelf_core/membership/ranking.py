"""Rendezvous hashing with the same result in every daemon."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

_DIGEST_BYTES: Final = 8


def rank_names(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names from the best-ranked to the worst for a key.

    Removing a name leaves the order of the others unchanged.
    """
    return tuple(sorted(set(names), key=lambda name: (_score(key, name), name)))


def find_best_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the best-ranked name for a key, ``None`` without names."""
    return min(names, key=lambda name: (_score(key, name), name), default=None)


def _score(key: str, name: str) -> bytes:
    # Without the length, different pairs of key and name could have the same
    # concatenation.
    content = f'{len(key)}:{key}{name}'.encode()
    return blake2b(content, digest_size=_DIGEST_BYTES).digest()
