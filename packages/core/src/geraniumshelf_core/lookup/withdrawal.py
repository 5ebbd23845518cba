"""Rotation of the entry instances of a region while zones are withdrawn.

The entries of a region, sorted by zone, divide an axis of a million points
evenly. A zone is withdrawn by points, so that a step moves only clients of that
zone and at most as many points as it withdraws.
"""

from collections.abc import Mapping, Sequence

from attrs import frozen

from geraniumshelf_core.units import PARTS_PER_MILLION

_NO_ZONES: frozenset[str] = frozenset()


@frozen
class EntryRotation:
    """Order of the entry instances in a look-up response.

    Attributes:
        rotation: Number of entries of the destination by which to rotate, not
            counting those of omitted zones.
        omitted: Zones whose entries are left out.
    """

    rotation: int
    omitted: frozenset[str] = _NO_ZONES


def choose_rotation(
    zones: Sequence[str], withdrawn: Mapping[str, int], client_number: int
) -> EntryRotation:
    """Return the order of entries for a client.

    Args:
        zones: Zone of each entry of the destination, sorted.
        withdrawn: Withdrawn points of zones, parts per million.
        client_number: Fixed 32-bit number of the client's block.
    """
    point = client_number % PARTS_PER_MILLION
    first = point * len(zones) // PARTS_PER_MILLION
    if not withdrawn or not zones:
        return EntryRotation(first)
    omitted = {
        zone for zone in withdrawn if is_fully_withdrawn(zones, withdrawn, zone)
    }
    first_zone = zones[first]
    start = -(-zones.index(first_zone) * PARTS_PER_MILLION // len(zones))
    if point - start < withdrawn.get(first_zone, 0):
        omitted.add(first_zone)
    kept = [index for index, zone in enumerate(zones) if zone not in omitted]
    if not kept:
        return EntryRotation(first)
    if first_zone in omitted:
        return EntryRotation(
            client_number // PARTS_PER_MILLION % len(kept), frozenset(omitted)
        )
    return EntryRotation(kept.index(first), frozenset(omitted))


def is_fully_withdrawn(
    zones: Sequence[str], withdrawn: Mapping[str, int], zone: str
) -> bool:
    """Return whether no client gets an entry of a zone first any more.

    Args:
        zones: Zone of each entry of its region.
        withdrawn: Withdrawn points of zones, parts per million.
        zone: The zone.
    """
    points = withdrawn.get(zone, 0)
    width = -(-zones.count(zone) * PARTS_PER_MILLION // max(1, len(zones)))
    is_served = any(other not in withdrawn for other in zones)
    return points >= PARTS_PER_MILLION or (is_served and 0 < width <= points)
