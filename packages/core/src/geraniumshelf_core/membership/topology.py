"""Topology of the links between daemons."""

from collections.abc import Mapping
from typing import Final

from geraniumshelf_core.membership.ranking import rank_names

FULL_MESH_LIMIT: Final = 16

_PAIR_SIZE: Final = 2
_CHILD_PAIR_COUNT: Final = 4


def is_full_mesh(zones: Mapping[str, str]) -> bool:
    """Return whether all daemons link to each other.

    Args:
        zones: Zone of each listed or live instance.
    """
    return len(zones) <= FULL_MESH_LIMIT


def linked_instances(own: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Return the instances that a daemon links to; the relation is symmetric.

    In fleets larger than ``FULL_MESH_LIMIT``, the instances of a zone form
    pairs in rank order, and the pairs form a tree. Each instance links to the
    other instance of its pair, to both instances of the parent pair and to
    the eight instances of the four child pairs, so that one failure per pair
    does not partition the tree. The instances of the root pair are the
    watchers. They link to the watchers of the zones at distances of 1, 2, 4
    and so on in the order of the zone names, which bounds the degree.

    Args:
        own: Own instance name, among the keys of ``zones``.
        zones: Zone of each listed or live instance.
    """
    if is_full_mesh(zones):
        return frozenset(zones) - {own}
    order = rank_zone_instances(zones[own], zones)
    rank = order.index(own)
    links = _tree_links(rank, order)
    if rank < _PAIR_SIZE:
        links |= _zone_links(zones[own], rank, zones)
    return frozenset(links - {own})


def rank_zone_instances(zone: str, zones: Mapping[str, str]) -> tuple[str, ...]:
    """Return the instances of a zone, best-ranked watcher first."""
    return rank_names(
        f'watch/{zone}', (name for name in zones if zones[name] == zone)
    )


def _tree_links(rank: int, order: tuple[str, ...]) -> set[str]:
    pair = rank // _PAIR_SIZE
    children = pair * _CHILD_PAIR_COUNT + 1
    pairs = [pair, *range(children, children + _CHILD_PAIR_COUNT)]
    if pair:
        pairs.append((pair - 1) // _CHILD_PAIR_COUNT)
    return {
        name
        for number in pairs
        for name in order[number * _PAIR_SIZE : (number + 1) * _PAIR_SIZE]
    }


def _zone_links(zone: str, rank: int, zones: Mapping[str, str]) -> set[str]:
    names = sorted(set(zones.values()))
    links = set()
    distance = 1
    while distance < len(names):
        for step in (distance, -distance):
            index = (names.index(zone) + step) % len(names)
            order = rank_zone_instances(names[index], zones)
            links.add(order[min(rank, len(order) - 1)])
        distance *= 2
    return links
