"""Follows the store while this daemon takes callers."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from geraniumshelf_core.placement.commands import forget_servers
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.interface import SiteKind, SiteStore
from geraniumshelf_daemon.edge.sinks import (
    ConfigurationSink,
    EvacuationSink,
    ServerSink,
)
from geraniumshelf_daemon.edge.state import RelayState
from geraniumshelf_daemon.edge.watching import RecordSink, Watcher
from geraniumshelf_daemon.observability.events import Event, log_event

_RETRY_PAUSE_S: Final = 0.5


class Following:
    """Keeps configuration, servers and evacuations as the store has them."""

    def __init__(
        self,
        state: RelayState,
        store: SiteStore,
        clock: Callable[[], Nanoseconds],
        random: Random,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._store = store
        self._clock = clock
        self._random = random
        self._on_change = on_change
        self._servers = ServerSink(state)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, contact: Nanoseconds) -> None:
        """Begin to follow the store.

        Args:
            contact: Time after a fault within which the daemon is back in
                touch.
        """
        self._servers = ServerSink(self._state)
        sinks: tuple[tuple[SiteKind, RecordSink], ...] = (
            (SiteKind.SERVERS, self._servers),
            (
                SiteKind.CONFIGURATION,
                ConfigurationSink(self._state, self._on_change),
            ),
            (SiteKind.EVACUATIONS, EvacuationSink(self._state)),
        )
        for kind, sink in sinks:
            watcher = Watcher(
                self._store, kind, sink, self._clock, self._random, contact
            )
            self._tasks.append(asyncio.create_task(guard_task(watcher.run)))

    async def stop(self) -> None:
        """Follow the store no longer and forget what it held.

        A request that still comes is refused, not served by what was true,
        and servers that leave meanwhile are not used after the next start.
        """
        tasks = tuple(self._tasks)
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._state.table = None
        self._state.has_servers = False
        self._state.has_evacuations = False
        forget_servers(self._state.placement)

    def forget_removed(self, now: Nanoseconds) -> None:
        """Forget the servers whose entries have not come back in time."""
        self._servers.forget_removed(now)


async def guard_task(step: Callable[[], Awaitable[None]]) -> None:
    """Run a step, again if it fails, until the task is cancelled."""
    while True:
        try:
            await step()
        except Exception as error:
            log_event(Event.TASK_FAILED, f'{type(error).__name__} {error}')
            await asyncio.sleep(_RETRY_PAUSE_S)
