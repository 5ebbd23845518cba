"""When the registry of instances is complete, and what is written there again.

Answers a store that has come back from an older copy. Limits are divided by the
number of instances that ever ran a daemon. An instance whose entry was lost
still uses its part, also one that is cut off or suspended and can't write its
entry again. So every daemon writes all lost entries that it knows of, and one
that starts takes the registry as incomplete until the others had time for that.
"""

from collections.abc import Collection, Mapping
from typing import Final

from attrs import define, field

from geraniumshelf_core.history.eras import (
    SETTLING_NS,
    EraState,
    advance_era,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# The first era of a store that never came back from a copy. One that counts
# from another number costs each daemon a few seconds with small parts.
_FIRST_ERAS: Final = (0, 1)
# Daemons write lost entries in this time at random, so that the first ones
# leave little to the others.
RESTORE_WINDOW_MS: Final = 3000
RESTORE_WINDOW_NS: Final[Nanoseconds] = RESTORE_WINDOW_MS * MILLISECOND_NS


@define
class RegistryState:
    """What a daemon has read of the registry.

    Attributes:
        started_at: Time of the daemon's start.
        eras: Eras of the lists.
    """

    started_at: Nanoseconds
    eras: EraState = field(factory=EraState)

    @property
    def era(self) -> int | None:
        """Return the era of the last list, ``None`` before the first."""
        return self.eras.newest


def record_list_era(reading: RegistryState, era: int) -> bool:
    """Take over the era of a list; return whether a later one began."""
    return advance_era(reading.eras, era)


def is_complete(reading: RegistryState, now: Nanoseconds) -> bool:
    """Return whether a list that was read now holds all instances.

    The entries that others write again are there when this daemon has run as
    long as they take for it.
    """
    if reading.era is None:
        return False
    is_settled = now - reading.started_at >= SETTLING_NS
    return reading.era in _FIRST_ERAS or is_settled


def missing_entries(
    known: Mapping[str, str], listed: Collection[str]
) -> tuple[str, ...]:
    """Return the names of known instances that the registry lacks.

    Args:
        known: IP address of each instance that is known, by name.
        listed: Names in the registry.
    """
    return tuple(name for name in known if name not in listed)
