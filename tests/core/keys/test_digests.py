"""Tests the lookup of keys by digest."""

from geraniumshelf_core.configuration.model import (
    Configuration,
    Key,
    WithdrawnKey,
)
from geraniumshelf_core.keys.digests import (
    build_key_index,
    digest_key,
    find_key,
    is_withdrawn,
)


def test_key_is_found_by_its_text_only() -> None:
    """A request must run only for the account of its key.

    The digest of a key, or text that is not valid UTF-8, finds no key.
    """
    entries = tuple(
        Key(digest_key(f'k{n}'), f'a{n}', f'l{n}') for n in range(9)
    )
    index = build_key_index(Configuration('trial', keys=entries))
    assert find_key(index, 'k3') is entries[3]
    assert find_key(index, entries[3].digest) is None
    assert find_key(index, '\udc80') is None


def test_withdrawn_key_is_not_found_even_if_listed() -> None:
    """A withdrawn key must not be accepted, nor its digest be logged."""
    digest = digest_key('k')
    index = build_key_index(
        Configuration(
            'trial',
            keys=(Key(digest, 'a', 'l'),),
            withdrawn=(WithdrawnKey(digest, 'l'),),
        )
    )
    assert find_key(index, 'k') is None
    assert is_withdrawn(index, 'k')
    assert digest not in repr(index)
