"""Follows one kind of object in the platform's store."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.interface import SiteKind, SiteStore, SiteView
from geraniumshelf_daemon.observability.events import Event, log_event

# A watch that was silenced on the way is noticed when its wait is over. That
# must happen before the daemon counts as in touch again.
_MARGIN_S: Final = 0.3
# Changes of this time are fetched together.
_GATHER_S: Final = 0.3
_PAUSE_S: Final = 0.25


class RecordSink(Protocol):
    """Takes what was found."""

    def replace(
        self, view: SiteView, now: Nanoseconds, *, after_outage: bool
    ) -> None:
        """Take over all objects of the kind."""

    def change(
        self, view: SiteView, now: Nanoseconds, *, after_outage: bool
    ) -> None:
        """Take over changes."""


class Watcher:
    """Lists and then watches one kind, and starts again when that fails."""

    def __init__(
        self,
        store: SiteStore,
        kind: SiteKind,
        sink: RecordSink,
        clock: Callable[[], Nanoseconds],
        random: Random,
        contact: Nanoseconds,
    ) -> None:
        """Prepare to follow a kind.

        Args:
            store: The platform's store.
            kind: What to follow.
            sink: Takes what was found.
            clock: Returns the current time, nanoseconds.
            random: Spreads the calls of the daemons.
            contact: Time after a fault within which the daemon is back in
                touch.
        """
        self._wait_s = ns_to_seconds(contact) - _MARGIN_S
        self._store = store
        self._kind = kind
        self._sink = sink
        self._clock = clock
        self._random = random
        self._revision: int | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Follow the kind until the task is cancelled."""
        while True:
            try:
                await self._step()
            except PlatformError as error:
                await self._recover(error)

    async def _step(self) -> None:
        if self._revision is None:
            view = await self._store.list_records(self._kind)
            self._sink.replace(view, self._clock(), after_outage=self._is_lost)
        else:
            view = await self._store.watch_records(
                self._kind, self._revision, self._wait_s
            )
            if view.records:
                self._sink.change(
                    view, self._clock(), after_outage=self._is_lost
                )
                await asyncio.sleep(_GATHER_S)
        self._revision = view.revision
        if self._is_lost:
            self._is_lost = False
            log_event(Event.PLATFORM_FOUND, self._kind.value)

    async def _recover(self, error: PlatformError) -> None:
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, self._kind.value)
            self._revision = None
            return
        if not self._is_lost:
            self._is_lost = True
            log_event(Event.PLATFORM_LOST, error.detail)
        await asyncio.sleep(_PAUSE_S * (1 + self._random.random()))
