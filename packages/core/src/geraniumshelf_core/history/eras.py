"""Eras of the platform's store, which may be restored from an older copy.

A restore loses the writes of the last seconds that the store has acknowledged.
Its revisions go back and are assigned again, so two revisions can be compared
only within one era, the time between two restores. Operators and servers soon
repeat their writes. Until then the lists of the store may lack entries that are
valid, and may hold entries that have ended.
"""

from typing import Final

from attrs import define, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Servers write again with their next heartbeats, and entries of servers without
# heartbeats are removed after three intervals of 1.5 s. Operators and daemons
# write again sooner.
_SETTLING_S: Final = 6
SETTLING_NS: Final[Nanoseconds] = _SETTLING_S * SECOND_NS


@frozen(order=True)
class StoreRevision:
    """A revision of the store, ordered across eras.

    Attributes:
        era: Number of the era; a later era has a larger one.
        number: Revision within the era.
    """

    era: int = 0
    number: int = 0


@frozen
class SameEra:
    """The response belongs to the newest known era."""


@frozen
class OlderEra:
    """The response belongs to an era before the last restore.

    Attributes:
        newest: The newest known era.
    """

    newest: int


@frozen
class EraBegun:
    """The store has been restored from a copy.

    Attributes:
        previous_era: The previous era.
    """

    previous_era: int


@define
class EraState:
    """Eras of the store that one daemon has seen.

    Attributes:
        newest: The newest era seen, ``None`` before the first response.
    """

    newest: int | None = None


def observe_era(state: EraState, era: int) -> SameEra | OlderEra | EraBegun:
    """Record the era of a response; return how it relates to the known one."""
    newest = state.newest
    if newest is None:
        state.newest = era
        return SameEra()
    if era < newest:
        return OlderEra(newest)
    if era == newest:
        return SameEra()
    state.newest = era
    return EraBegun(newest)


def advance_era(state: EraState, era: int) -> bool:
    """Record the era of a response; return whether a later era has begun."""
    return isinstance(observe_era(state, era), EraBegun)
