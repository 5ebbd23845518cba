"""What it means that the store has come back from an older copy.

Answers a store that loses the last seconds of what it has acknowledged. Its
revisions go back and are given out again, so two of them compare only within
one era, the time between two such returns. What operators and servers had
written is written again soon after; until then the lists of the store may lack
what is in force, and may hold what has ended.
"""

from typing import Final

from attrs import define, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Servers write again with their next heartbeats, and entries of silent ones are
# removed after three intervals of 1.5 s; operators and daemons are faster.
_SETTLING_S: Final = 6
SETTLING_NS: Final[Nanoseconds] = _SETTLING_S * SECOND_NS


@frozen(order=True)
class StoreRevision:
    """A place in the history of the store.

    Attributes:
        era: Number of the copy that the store runs on; a later one is larger.
        number: Revision within the era.
    """

    era: int = 0
    number: int = 0


@frozen
class SameEra:
    """The answer belongs to the newest era that is known."""


@frozen
class OlderEra:
    """The answer was given before the store came back from a copy.

    Attributes:
        newest: The newest era that is known.
    """

    newest: int


@frozen
class EraBegun:
    """The store has come back from a copy.

    Attributes:
        before: The era before.
    """

    before: int


@define
class EraState:
    """What one daemon knows of the eras of the store.

    Attributes:
        newest: The newest era seen, ``None`` before the first answer.
    """

    newest: int | None = None


def observe_era(state: EraState, era: int) -> SameEra | OlderEra | EraBegun:
    """Take over the era of an answer; return what it means."""
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
    """Take over the era of an answer; return whether a later one began."""
    return isinstance(observe_era(state, era), EraBegun)
