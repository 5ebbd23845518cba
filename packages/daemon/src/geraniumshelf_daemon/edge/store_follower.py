"""Follows the store while this daemon takes callers."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.placement.commands import clear_servers
from geraniumshelf_core.presence.state import StoreReport
from geraniumshelf_core.presence.versions import begin_loading
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.interface import SiteKind, SiteStore
from geraniumshelf_daemon.edge.sinks import (
    ConfigurationSink,
    EvacuationSink,
    ServerSink,
)
from geraniumshelf_daemon.edge.state import RelayState
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.store_probe import StoreProbe
from geraniumshelf_daemon.edge.watcher import (
    RecordSink,
    Watcher,
    WatchRules,
)
from geraniumshelf_daemon.observability.events import Event, log_event

_RETRY_PAUSE_S: Final = 0.5
# The order of the changes in a beat.
_KINDS: Final = (
    SiteKind.CONFIGURATION,
    SiteKind.SERVERS,
    SiteKind.EVACUATIONS,
)


class StoreFollower:
    """Keeps configuration, servers and evacuations as the store has them."""

    def __init__(
        self,
        state: RelayState,
        store: SiteStore,
        reach: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        on_change: Callable[[], None],
        rules: WatchRules,
    ) -> None:
        """Prepare to follow the store.

        Args:
            state: What the decisions about requests work on.
            store: The platform's store.
            reach: Tells since when it has answered.
            clock: Returns the current time, nanoseconds.
            random: Spreads the calls of the daemons.
            on_change: Called with each new configuration.
            rules: Decisions about the watches.
        """
        self._rules = rules
        self._watchers: tuple[Watcher, ...] = ()
        self._state = state
        self._store = store
        self._reach = reach
        self._clock = clock
        self._random = random
        self._on_change = on_change
        self._servers = ServerSink(state, reach.answered_since)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_disconnected(self) -> bool:
        """Return whether the store doesn't answer."""
        return any(watcher.is_disconnected for watcher in self._watchers)

    def news(self, now: Nanoseconds) -> StoreReport:
        """Return what to tell the other daemons of the store."""
        configuration = self._watchers[0] if self._watchers else None
        return StoreReport(
            configuration.confirmed_at if configuration else None,
            tuple(watcher.changed_at for watcher in self._watchers),
            self._state.version,
            self._reach.era,
            self._reach.answered_for(now),
        )

    def renew_missed(
        self,
        has_missed: Callable[[int, StoreRevision], bool],
        now: Nanoseconds,
    ) -> None:
        """Ask again where a watch has missed a change, or may have.

        Args:
            has_missed: Tells it from the place of the kind in ``changes`` and
                the revision up to which it is known.
            now: Current time.
        """
        for place, watcher in enumerate(self._watchers):
            watcher.check(now)
            if has_missed(place, watcher.seen):
                watcher.renew(now)

    def start(self) -> None:
        """Begin to follow the store."""
        self._servers = ServerSink(self._state, self._reach.answered_since)
        sinks: tuple[RecordSink, ...] = (
            ConfigurationSink(self._state, self._on_change),
            self._servers,
            EvacuationSink(self._state),
        )
        self._watchers = tuple(
            Watcher(
                self._store,
                kind,
                sink,
                self._reach,
                self._clock,
                self._random,
                self._rules,
            )
            for kind, sink in zip(_KINDS, sinks, strict=True)
        )
        steps = (*(watcher.run for watcher in self._watchers), self._probe)
        for step in steps:
            self._tasks.append(asyncio.create_task(guard_task(step)))

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
        self._watchers = ()
        self._reach.forget()
        self._state.table = None
        self._state.has_servers = False
        self._state.has_evacuations = False
        begin_loading(self._state.versions)
        clear_servers(self._state.placement)

    async def _probe(self) -> None:
        probe = StoreProbe(
            self._store,
            self._reach,
            self._clock,
            self._random,
            self._rules.is_prober,
        )
        await probe.run(lambda: self.is_disconnected, self._retry_lost)

    def _retry_lost(self, answered: Nanoseconds) -> None:
        for watcher in self._watchers:
            if watcher.is_disconnected:
                watcher.retry(answered)

    def forget_missing(self, now: Nanoseconds) -> None:
        """Forget the servers whose entries have not come back in time."""
        self._servers.forget_missing(now)


async def guard_task(step: Callable[[], Awaitable[None]]) -> None:
    """Run a step, again if it fails, until the task is cancelled."""
    while True:
        try:
            await step()
        except Exception as error:
            log_event(Event.TASK_FAILED, f'{type(error).__name__} {error}')
            await asyncio.sleep(_RETRY_PAUSE_S)
