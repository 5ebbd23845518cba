"""Lookup table of client blocks, stored in sorted arrays.

A block is a range of addresses from one start to the next. Blocks cover the
whole address space; those outside any network have the site ``NO_SITE``.
"""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from typing import Final

from attrs import field, frozen

from geraniumshelf_core.errors import ConfigurationError, ResultCode

NO_SITE: Final = 0xFFFF

ADDRESS_BITS: Final = 32

# A network is packed into one number of start, prefix length and site. In
# numeric order an enclosing network comes before those nested in it.
_SITE_BITS: Final = 16
_LENGTH_BITS: Final = 6
_START_SHIFT: Final = _SITE_BITS + _LENGTH_BITS
_LENGTH_MASK: Final = (1 << _LENGTH_BITS) - 1
_END_OF_SPACE: Final = 1 << ADDRESS_BITS


@frozen
class Network:
    """An IPv4 network and the number of its site.

    Attributes:
        start: First address as a number.
        prefix_length: Number of leading bits in common, 0 to 32.
        site: Index into a list of sites, below ``NO_SITE``.
    """

    start: int
    prefix_length: int
    site: int


@frozen
class BlockTable:
    """Sorted starts of blocks and the site of each.

    Attributes:
        starts: First address of each block; the first is 0.
        sites: Site number of each block.
    """

    starts: 'array[int]' = field(repr=False)
    sites: 'array[int]' = field(repr=False)

    def find(self, address: int) -> tuple[int, int]:
        """Return the start and the site of the block of an address."""
        index = bisect_right(self.starts, address) - 1
        return self.starts[index], self.sites[index]


def build_table(networks: Iterable[Network]) -> BlockTable:
    """Return a table in which the longest prefix wins where networks nest.

    Networks that are given in address order are not copied for sorting.

    Raises:
        ConfigurationError: ``OUT_OF_RANGE`` for a network with host bits or a
            number outside its range.
    """
    packed = array('Q')
    is_sorted = True
    for network in networks:
        row = _pack(network)
        is_sorted = is_sorted and (not packed or packed[-1] <= row)
        packed.append(row)
    if not is_sorted:
        packed = array('Q', sorted(packed))
    return _sweep(packed)


def _pack(network: Network) -> int:
    length = network.prefix_length
    is_valid = 0 <= length <= ADDRESS_BITS and 0 <= network.site < NO_SITE
    if not is_valid or not 0 <= network.start < _END_OF_SPACE:
        raise ConfigurationError(
            ResultCode.OUT_OF_RANGE, f'{network} is not an IPv4 network'
        )
    if network.start % (1 << (ADDRESS_BITS - length)):
        raise ConfigurationError(
            ResultCode.OUT_OF_RANGE, f'{network} has host bits set'
        )
    head = network.start << _LENGTH_BITS | length
    return head << _SITE_BITS | network.site


def _sweep(packed: 'array[int]') -> BlockTable:
    table = BlockTable(array('I', [0]), array('H', [NO_SITE]))
    # End and site of each network that encloses the current address.
    enclosing = [(_END_OF_SPACE + 1, NO_SITE)]
    for row in packed:
        start = row >> _START_SHIFT
        length = row >> _SITE_BITS & _LENGTH_MASK
        site = row & NO_SITE
        _close(table, enclosing, start)
        _append(table, start, site)
        enclosing.append((start + (1 << (ADDRESS_BITS - length)), site))
    _close(table, enclosing, _END_OF_SPACE)
    return table


def _close(
    table: BlockTable, enclosing: list[tuple[int, int]], start: int
) -> None:
    while enclosing[-1][0] <= start:
        end, _ = enclosing.pop()
        if end < start:
            _append(table, end, enclosing[-1][1])


def _append(table: BlockTable, start: int, site: int) -> None:
    if table.starts[-1] == start:
        table.starts.pop()
        table.sites.pop()
    # Adjacent blocks of one site are not merged: each block has its own point,
    # and a merged block would move as a whole, beyond the cap of a step.
    table.starts.append(start)
    table.sites.append(site)
