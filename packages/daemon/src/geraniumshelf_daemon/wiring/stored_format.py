"""Adapter from the stored form of the configuration to its holder."""

from collections.abc import Sequence

from attrs import frozen

from geraniumshelf_core.configuration.head import decode_head
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.configuration.parts import join_parts, part_digest


@frozen
class StoredFormat:
    """Implements ``ConfigurationFormat`` for heads and parts in the store."""

    def decode_head(self, encoded: bytes) -> tuple[int, tuple[str, ...]]:
        """Return the revision and the digests of the parts."""
        head = decode_head(encoded)
        return head.revision, tuple(head.digests)

    def digest(self, content: bytes) -> str:
        """Return the digest that identifies a part."""
        return part_digest(content)

    def join(self, contents: Sequence[bytes]) -> Configuration:
        """Return the configuration that consists of these parts."""
        parts = {part_digest(content): content for content in contents}
        return join_parts(tuple(parts), parts)
