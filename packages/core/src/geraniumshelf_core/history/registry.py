"""Completeness of the registry of instances after a restore of the store.

Limits are divided by the number of instances that have ever run a daemon. When
the store is restored from an older copy, entries of instances may be lost. Such
an instance still uses its fraction of the limits, even if it is cut off or
suspended and can't write its entry again. So every daemon restores all missing
entries that it knows of, and a daemon that starts treats the registry as
incomplete until the others have had time to do so.
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

# First eras of a store that has never been restored. If a store counts from
# another number, each daemon uses a small fraction of the limits for a few
# seconds after its start.
_FIRST_ERAS: Final = (0, 1)
# Daemons restore missing entries at a random time within this window, so that
# the first ones leave little to the others.
RESTORE_WINDOW_MS: Final = 3000
RESTORE_WINDOW_NS: Final[Nanoseconds] = RESTORE_WINDOW_MS * MILLISECOND_NS


@define
class RegistryState:
    """State of a daemon's readings of the registry.

    Attributes:
        started_at: Time of the daemon's start.
        eras: Eras of the lists that were read.
    """

    started_at: Nanoseconds
    eras: EraState = field(factory=EraState)

    @property
    def era(self) -> int | None:
        """Return the era of the last list, ``None`` before the first."""
        return self.eras.newest


def record_list_era(state: RegistryState, era: int) -> bool:
    """Record the era of a list; return whether a later era has begun."""
    return advance_era(state.eras, era)


def is_complete(state: RegistryState, now: Nanoseconds) -> bool:
    """Return whether a list that is read now holds all instances.

    After a restore it does when this daemon has run for as long as the others
    need to restore the missing entries.
    """
    if state.era is None:
        return False
    is_settled = now - state.started_at >= SETTLING_NS
    return state.era in _FIRST_ERAS or is_settled


def missing_entries(
    known: Mapping[str, str], listed: Collection[str]
) -> tuple[str, ...]:
    """Return the names of known instances that the registry lacks.

    Args:
        known: IP address of each known instance by name.
        listed: Names in the registry.
    """
    return tuple(name for name in known if name not in listed)
