"""Which daemons link to each other."""

from collections.abc import Mapping
from typing import Final

from geraniumshelf_core.membership.ranking import ranked

FULL_MESH_LIMIT: Final = 16

_PAIR: Final = 2
_CHILD_PAIRS: Final = 4


def is_full_mesh(zones: Mapping[str, str]) -> bool:
    """Tell whether all daemons link to each other.

    Args:
        zones: Zone of each listed or live instance.
    """
    return len(zones) <= FULL_MESH_LIMIT


def linked_instances(own: str, zones: Mapping[str, str]) -> frozenset[str]:
    """Return the instances that a daemon links to; the relation is symmetric.

    Above the limit, the instances of a zone form pairs in rank order, and the
    pairs a tree: each instance links to its mate, to both instances of the
    parent pair and to the eight instances of the four child pairs, so that
    one failure per pair does not separate the tree. The root pair are the
    watchers; those of zones at distances of 1, 2, 4 and so on are linked,
    which bounds the degree.

    Args:
        own: Own instance name, among the keys of ``zones``.
        zones: Zone of each listed or live instance.
    """
    if is_full_mesh(zones):
        return frozenset(zones) - {own}
    order = rank_zone_instances(zones[own], zones)
    place = order.index(own)
    links = _tree_links(place, order)
    if place < _PAIR:
        links |= _zone_links(zones[own], place, zones)
    return frozenset(links - {own})


def rank_zone_instances(zone: str, zones: Mapping[str, str]) -> tuple[str, ...]:
    """Return the instances of a zone, best-ranked watcher first."""
    return ranked(
        f'watch/{zone}', (name for name in zones if zones[name] == zone)
    )


def _tree_links(place: int, order: tuple[str, ...]) -> set[str]:
    pair = place // _PAIR
    children = pair * _CHILD_PAIRS + 1
    pairs = [pair, *range(children, children + _CHILD_PAIRS)]
    if pair:
        pairs.append((pair - 1) // _CHILD_PAIRS)
    return {
        name
        for number in pairs
        for name in order[number * _PAIR : (number + 1) * _PAIR]
    }


def _zone_links(zone: str, place: int, zones: Mapping[str, str]) -> set[str]:
    names = sorted(set(zones.values()))
    links = set()
    distance = 1
    while distance < len(names):
        for step in (distance, -distance):
            index = (names.index(zone) + step) % len(names)
            order = rank_zone_instances(names[index], zones)
            links.add(order[min(place, len(order) - 1)])
        distance *= 2
    return links
