"""Tracks the eras of the platform's store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.history.eras import (
    EraBegun,
    EraState,
    OlderEra,
    SameEra,
    observe_era,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.clock import boot_time
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import (
    count_metric,
    gauge_metric,
)


class StoreEras:
    """Checks the era of each response of the store.

    A new era begins when the store comes back from an older copy.

    Args:
        clock: Returns the current time, nanoseconds.
    """

    def __init__(self, clock: Callable[[], Nanoseconds] = boot_time) -> None:
        self._state = EraState()
        self._clock = clock
        self._era_changed = asyncio.Event()

    @property
    def newest(self) -> int:
        """Return the newest era seen, 0 before the first response."""
        return self._state.newest or 0

    def now(self) -> Nanoseconds:
        """Return the current time."""
        return self._clock()

    async def wait_change(self, known: int | None, max_wait_s: float) -> bool:
        """Wait until an era later than a known one begins.

        Args:
            known: The known era; with ``None`` the whole time is waited.
            max_wait_s: Longest time to wait, seconds.

        Returns:
            Whether a later era has begun.
        """
        if known is None:
            await asyncio.sleep(max_wait_s)
            return False
        if self.newest == known:
            self._era_changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(max_wait_s):
                    await self._era_changed.wait()
        return self.newest > known

    def observe(self, era: int) -> None:
        """Record the era of a response.

        Raises:
            PlatformError: ``ANSWER_OUTDATED`` if a later era was seen.
        """
        match observe_era(self._state, era):
            case SameEra():
                gauge_metric(Metric.STORE_ERA, era)
            case OlderEra(newest):
                raise PlatformError(
                    ResultCode.ANSWER_OUTDATED,
                    f'response of era {era}, but era {newest} was already seen',
                )
            case EraBegun(previous_era):
                count_metric(Metric.STORE_ERAS_BEGUN)
                gauge_metric(Metric.STORE_ERA, era)
                log_event(Event.STORE_ERA_BEGUN, era=era, before=previous_era)
                self._era_changed.set()
