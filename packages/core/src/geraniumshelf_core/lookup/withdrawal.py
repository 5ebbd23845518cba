"""The place of a client among entry instances while zones are withdrawn.

The entries of a region, sorted by zone, divide an axis of a million points
evenly. A zone is withdrawn point by point, so that a step moves at most the
points that it withdraws, and only clients of that zone.
"""

from collections.abc import Mapping, Sequence

from attrs import frozen

from geraniumshelf_core.units import PARTS_PER_MILLION

_NO_ZONES: frozenset[str] = frozenset()


@frozen
class EntryRotation:
    """How the entries of an answer are ordered.

    Attributes:
        rotation: Number of entries of the destination to rotate by, not
            counting those of omitted zones.
        omitted: Zones whose entries are left out.
    """

    rotation: int
    omitted: frozenset[str] = _NO_ZONES


def choose_rotation(
    zones: Sequence[str], withdrawn: Mapping[str, int], turn: int
) -> EntryRotation:
    """Return the order of entries for a client.

    Args:
        zones: Zone of each entry of the destination, sorted.
        withdrawn: Withdrawn points of zones, parts per million.
        turn: Fixed number of the client.
    """
    place = turn % PARTS_PER_MILLION
    first = place * len(zones) // PARTS_PER_MILLION
    if not withdrawn or not zones:
        return EntryRotation(first)
    omitted = {
        zone for zone in withdrawn if is_fully_withdrawn(zones, withdrawn, zone)
    }
    own = zones[first]
    start = -(-zones.index(own) * PARTS_PER_MILLION // len(zones))
    if place - start < withdrawn.get(own, 0):
        omitted.add(own)
    kept = [place for place, zone in enumerate(zones) if zone not in omitted]
    if not kept:
        return EntryRotation(first)
    if own in omitted:
        return EntryRotation(
            turn // PARTS_PER_MILLION % len(kept), frozenset(omitted)
        )
    return EntryRotation(kept.index(first), frozenset(omitted))


def is_fully_withdrawn(
    zones: Sequence[str], withdrawn: Mapping[str, int], zone: str
) -> bool:
    """Tell whether no client is sent to a zone first any more.

    Args:
        zones: Zone of each entry of its region.
        withdrawn: Withdrawn points of zones, parts per million.
        zone: The zone.
    """
    points = withdrawn.get(zone, 0)
    width = -(-zones.count(zone) * PARTS_PER_MILLION // max(1, len(zones)))
    is_served = any(other not in withdrawn for other in zones)
    return points >= PARTS_PER_MILLION or (is_served and 0 < width <= points)
