"""Maps client addresses to regions by the declared client blocks."""

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
class ClientRegions:
    """The block table and the region of each of its site numbers.

    Attributes:
        table: Table of the declared client blocks.
        regions: Region names, indexed by site number.
    """

    table: BlockTable
    regions: tuple[str, ...]

    def region_of(self, address: int) -> str | None:
        """Return the region of an IPv4 address given as a number.

        Returns:
            The region name, ``None`` outside all blocks.
        """
        _, site = self.table.find(address)
        return None if site == NO_SITE else self.regions[site]


def build_client_regions(blocks: tuple[ClientBlock, ...]) -> ClientRegions:
    """Build the table of the declared client blocks."""
    regions = tuple(sorted({block.region for block in blocks}))
    return ClientRegions(build_table(_iter_networks(blocks, regions)), regions)


def _iter_networks(
    blocks: tuple[ClientBlock, ...], regions: tuple[str, ...]
) -> Iterator[Network]:
    sites = {region: number for number, region in enumerate(regions)}
    for block in blocks:
        network = IPv4Network(block.network)
        yield Network(
            int(network.network_address),
            network.prefixlen,
            sites[block.region],
        )
