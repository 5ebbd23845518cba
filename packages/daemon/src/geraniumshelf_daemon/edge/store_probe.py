"""Asks a store that does not answer until it does."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.interface import SiteKind, SiteStore
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.observability.events import Event, log_event

# A daemon has contact_s, 3 s and more, to learn what it has missed.
_PAUSE_S: Final = 0.25
# Daemons that don't lead their zone ask a store in trouble less often.
_LATER_PAUSE_S: Final = 1.0


class StoreProbe:
    """Finds out soon when the store answers again.

    A call that is lost on the way ends only at its time limit. Probes are sent
    one after the other without waiting for their answers, so the first one that
    can be answered is.

    Args:
        store: The platform's store.
        reach: Takes whether it answers.
        clock: Returns the current time, nanoseconds.
        random: Spreads the calls of the daemons.
        is_prober: Returns whether this daemon asks often.
    """

    def __init__(
        self,
        store: SiteStore,
        reach: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        is_prober: Callable[[], bool],
    ) -> None:
        self._store = store
        self._reach = reach
        self._clock = clock
        self._random = random
        self._is_prober = is_prober
        self._calls: set[asyncio.Task[None]] = set()

    async def run(
        self,
        is_disconnected: Callable[[], bool],
        on_answer: Callable[[Nanoseconds], None],
    ) -> None:
        """Send probes while they are needed, until the task is cancelled.

        Args:
            is_disconnected: Returns whether anything waits for an answer.
            on_answer: Called with the time of a probe that was answered.
        """
        try:
            while True:
                await self._reach.wait_failure()
                await asyncio.sleep(self._pause() * self._random.random())
                while is_disconnected():
                    call = asyncio.create_task(self._ask(on_answer))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)
                    spread = 1 + self._random.random()
                    await asyncio.sleep(self._pause() * spread)
        finally:
            for call in self._calls:
                call.cancel()

    def _pause(self) -> float:
        return _PAUSE_S if self._is_prober() else _LATER_PAUSE_S

    async def _ask(self, on_answer: Callable[[Nanoseconds], None]) -> None:
        asked_at = self._clock()
        try:
            # The shortest list, at the lowest price.
            view = await self._store.list_records(
                SiteKind.EVACUATIONS, allow_stale=True
            )
        except PlatformError as error:
            log_event(Event.PROBE_UNANSWERED, error.detail)
            return
        self._reach.note_answer(view.revision.era, self._clock())
        on_answer(asked_at)
