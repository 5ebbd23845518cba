"""Floors: the share of a limit that is guaranteed to each declared slot."""

from collections.abc import Iterable

from attrs import frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.units import MICROS_PER_UNIT

# All declared slots in a fixed order, ``zone/number``.
Layout = tuple[str, ...]


@frozen
class Floor:
    """A share of a limit.

    Attributes:
        rate: Micro-tokens per second.
        capacity: Micro-tokens.
    """

    rate: int = 0
    capacity: int = 0


def slot_layout(configuration: Configuration) -> Layout:
    """Return all declared slots, ordered by zone name and number."""
    zones = sorted(configuration.zones, key=lambda zone: zone.name)
    return tuple(
        f'{zone.name}/{number}'
        for zone in zones
        for number in range(zone.slots)
    )


def split_total(total: int, parts: int, index: int) -> int:
    """Return one part of an integer; the parts sum to the total.

    >>> [split_total(5, 3, index) for index in range(3)]
    [2, 2, 1]
    """
    quotient, rest = divmod(total, parts)
    return quotient + (index < rest)


def slot_floor(
    rate_per_s: int, burst: int, slot: str, layouts: Iterable[Layout]
) -> Floor:
    """Return the smallest floor of a slot over layouts that may be in force.

    Rate and burst are those of the newest revision known to this daemon. Each
    holder stays within its share of one common layout, so the sum over all
    slots is at most the largest total that any holder has in force.
    """
    rates = []
    capacities = []
    for layout in layouts:
        if slot not in layout:
            return Floor()
        index = layout.index(slot)
        parts = len(layout)
        rates.append(split_total(rate_per_s * MICROS_PER_UNIT, parts, index))
        capacities.append(split_total(burst * MICROS_PER_UNIT, parts, index))
    return Floor(min(rates, default=0), min(capacities, default=0))
