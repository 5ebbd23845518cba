"""The region of each client block of the configuration."""

from collections.abc import Iterator
from ipaddress import IPv4Network

from attrs import frozen

from geraniumshelf_core.configuration.model import ClientBlock
from geraniumshelf_core.lookup.blocks import (
    NO_SITE,
    BlockTable,
    Network,
    build_table,
)


@frozen
class ClientSites:
    """The block table with the names of its site numbers.

    Attributes:
        table: Sorted blocks.
        regions: Region names by site number.
    """

    table: BlockTable
    regions: tuple[str, ...]

    def region_of(self, address: int) -> str | None:
        """Return the region of an address, ``None`` outside all blocks."""
        _, site = self.table.find(address)
        return None if site == NO_SITE else self.regions[site]


def build_sites(blocks: tuple[ClientBlock, ...]) -> ClientSites:
    """Build the table of the declared client blocks."""
    regions = tuple(sorted({block.region for block in blocks}))
    return ClientSites(build_table(_networks(blocks, regions)), regions)


def _networks(
    blocks: tuple[ClientBlock, ...], regions: tuple[str, ...]
) -> Iterator[Network]:
    numbers = {region: number for number, region in enumerate(regions)}
    for block in blocks:
        network = IPv4Network(block.network)
        yield Network(
            int(network.network_address),
            network.prefixlen,
            numbers[block.region],
        )
