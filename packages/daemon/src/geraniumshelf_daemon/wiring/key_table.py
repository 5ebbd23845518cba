"""Keys of the configuration in force."""

from attrs import define, field

from geraniumshelf_core.configuration.model import Configuration, Key
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.keys.digests import (
    KeyIndex,
    build_key_index,
    find_key,
    is_withdrawn,
)


@define
class KeyTable:
    """Implements ``KeySource`` with an index of the keys."""

    _index: KeyIndex = field(
        factory=lambda: KeyIndex({}, frozenset()), init=False, repr=False
    )

    def apply(self, configuration: Configuration) -> None:
        """Replace the keys by those of a revision."""
        self._index = build_key_index(configuration)

    def find(self, key: str) -> Key | None:
        """Return the entry of a key, ``None`` if there is none.

        Raises:
            RequestRefused: ``KEY_WITHDRAWN`` if the key was accepted before.
        """
        found = find_key(self._index, key)
        if found is None and is_withdrawn(self._index, key):
            raise RequestRefused(
                ResultCode.KEY_WITHDRAWN, 'the key was withdrawn'
            )
        return found
