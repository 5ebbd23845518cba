"""Adjusts the fraction of each service's objects served by other regions."""

from typing import Final

from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event

# The cap on shifted requests applies to the change from one window of this
# length to the next.
_SHIFT_WINDOW_S: Final = 2.0
# Fraction of the cap that one service uses; the rest covers random differences
# between two windows.
_SHIFT_FRACTION: Final = 0.4
# Minimum change of a spilled fraction that is logged.
_LOG_STEP: Final = 0.05


class SpillController:
    """Controls the spilled fractions of one daemon.

    Args:
        placement: State that holds the spilled fractions.
        max_shift: Cap on the fraction of requests that change region.
        interval_s: Time between two adjustments, seconds.
    """

    def __init__(
        self,
        placement: PlacementState,
        max_shift: float,
        interval_s: float,
    ) -> None:
        self._placement = placement
        self._max_step = (
            max_shift * _SHIFT_FRACTION * interval_s / _SHIFT_WINDOW_S
        )
        self._logged_fractions: dict[str, float] = {}

    def adjust(self, now: Nanoseconds) -> None:
        """Adjust the fractions by at most one step and log larger changes."""
        adjust_spills(self._placement, self._max_step, now)
        for service, spill in self._placement.spills.items():
            if (
                abs(spill.fraction - self._logged_fractions.get(service, 0))
                >= _LOG_STEP
            ):
                self._logged_fractions[service] = spill.fraction
                log_event(
                    Event.SPILL_CHANGED,
                    service,
                    fraction=round(spill.fraction, 3),
                    base=round(spill.base_fraction, 3),
                    planned=round(spill.planned_fraction, 3),
                    cause='demand' if spill.is_by_demand else 'slots',
                )
