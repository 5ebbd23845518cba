"""Adjusts which share of each service's objects leaves the region."""

from typing import Final

from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event

# The cap on shifts counts the change from one window of this length to the
# next, seconds.
_SHIFT_WINDOW_S: Final = 2.0
# Part of the cap that one service uses; the rest covers the chance differences
# between two windows.
_SHIFT_PART: Final = 0.4
# Changes of a share that are logged.
_TOLD_STEP: Final = 0.05


class SpillController:
    """The spilled shares of one daemon.

    Args:
        placement: Where they are kept.
        largest_shift: Cap on the share of requests that change region.
        interval_s: Time between two adjustments, seconds.
    """

    def __init__(
        self,
        placement: PlacementState,
        largest_shift: float,
        interval_s: float,
    ) -> None:
        self._placement = placement
        self._step = largest_shift * _SHIFT_PART * interval_s / _SHIFT_WINDOW_S
        self._told: dict[str, float] = {}

    def adjust(self, now: Nanoseconds) -> None:
        """Move the shares by at most a step and log larger changes."""
        adjust_spills(self._placement, self._step, now)
        for service, spill in self._placement.spills.items():
            if abs(spill.fraction - self._told.get(service, 0)) >= _TOLD_STEP:
                self._told[service] = spill.fraction
                log_event(
                    Event.SPILL_CHANGED,
                    service,
                    fraction=round(spill.fraction, 3),
                    base=round(spill.base_fraction, 3),
                )
