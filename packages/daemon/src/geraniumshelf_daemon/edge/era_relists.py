"""Decides when a kind is listed again after a new era of the store began."""

from attrs import define, field

from geraniumshelf_core.history.eras import (
    SETTLING_NS,
    EraState,
    advance_era,
)
from geraniumshelf_core.units import Nanoseconds


@define
class EraRelist:
    """The list that is read again once a new era has settled.

    The first list of an era may lack entries that are written again later.
    """

    _eras: EraState = field(factory=EraState, init=False)
    _due_at: Nanoseconds | None = field(default=None, init=False)

    def record_era(self, era: int, now: Nanoseconds) -> None:
        """Record the era of a list."""
        if advance_era(self._eras, era):
            self._due_at = now + SETTLING_NS

    def end_if_due(self, now: Nanoseconds) -> bool:
        """Return whether to list now; the list is then no longer due."""
        if self._due_at is None or now < self._due_at:
            return False
        self._due_at = None
        return True

    def limit_wait(self, wait: Nanoseconds, now: Nanoseconds) -> Nanoseconds:
        """Return how long a watch may wait so that it ends before the list."""
        if self._due_at is None:
            return wait
        return min(wait, max(0, self._due_at - now))
