"""Keeps the entry of this instance and reads those of the others."""

import asyncio
from random import Random
from typing import Final

from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.history.registry import (
    RESTORE_WINDOW_MS,
    RegistryState,
    is_complete,
    missing_entries,
    record_list_era,
)
from geraniumshelf_core.presence.commands import register_instance
from geraniumshelf_core.presence.entry_role import PEER_DISCOVERY_MS, EntryRole
from geraniumshelf_core.presence.queries import is_large_fleet
from geraniumshelf_core.presence.state import PresenceState, RegisteredInstance
from geraniumshelf_daemon.edge.interface import (
    ListedInstance,
    SiteKind,
    SiteStore,
    SiteView,
)
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Heartbeats tell of new instances sooner; the registry also names those that
# were never heard.
_PAUSE_S: Final = 10.0
# In a large fleet each list is long; the daemons of a zone count each other.
_LARGE_PAUSE_S: Final = 60.0
_RETRY_PAUSE_S: Final = 0.5
# Lost entries are written again within some seconds.
_SETTLING_PAUSE_S: Final = 2.0
# At a first start all instances store their entries at about the same time.
_FIRST_PAUSE_S: Final = PEER_DISCOVERY_MS / 1000 / 2
_RESTORING_S: Final = RESTORE_WINDOW_MS / 1000


class Registry:
    """Entries of all instances that run, or once ran, a daemon."""

    def __init__(
        self,
        store: SiteStore,
        presence: PresenceState,
        settings: EdgeSettings,
        random: Random,
        duty: EntryRole,
    ) -> None:
        self._store = store
        self._presence = presence
        self._duty = duty
        self._own = ListedInstance(
            settings.name, settings.zone, settings.ip, settings.cores
        )
        self._random = random
        self._reading = RegistryState(duty.started_at)
        self._is_registered = False

    async def run(self) -> None:
        """Follow the registry until the task is cancelled."""
        while True:
            was_registered = self._is_registered
            try:
                await self._read()
            except PlatformError as error:
                log_event(Event.PLATFORM_LOST, error.detail)
            pause = self._pause(was_registered=was_registered)
            pause *= 0.5 + self._random.random()
            if await self._store.eras.wait_change(self._reading.era, pause):
                await asyncio.sleep(_RESTORING_S * self._random.random())

    def _pause(self, *, was_registered: bool) -> float:
        if not self._is_registered:
            return _RETRY_PAUSE_S
        if not self._presence.is_complete:
            return _SETTLING_PAUSE_S
        if not was_registered and not self._duty.was_registered:
            return _FIRST_PAUSE_S
        is_often = self._duty.is_entry or not is_large_fleet(self._presence)
        return _PAUSE_S if is_often else _LARGE_PAUSE_S

    async def _read(self) -> None:
        eras = self._store.eras
        is_new = self._reading.era is not None and (
            eras.newest > self._reading.era
        )
        allow_stale = self._presence.is_complete and not is_new
        view = await self._store.list_records(
            SiteKind.INSTANCES, allow_stale=allow_stale
        )
        has_begun = record_list_era(self._reading, view.revision.era)
        self._take(view)
        if not self._presence.is_complete:
            self._presence.is_complete = is_complete(self._reading, eras.now())
        if not self._is_registered:
            self._duty.was_registered = self._own.name in view.records
            if view.records.get(self._own.name) != self._own:
                await self._store.register(self._own)
            self._is_registered = True
        elif has_begun:
            await self._restore(view)

    def _take(self, view: SiteView) -> None:
        for record in view.records.values():
            if isinstance(record, ListedInstance):
                register_instance(
                    self._presence,
                    record.name,
                    RegisteredInstance(record.zone, record.cores),
                    record.ip,
                )

    async def _restore(self, view: SiteView) -> None:
        """Write the entries again that the older copy lacks."""
        addresses = {
            name: ip
            for ip, name in self._presence.heartbeat_targets.items()
            if name
        }
        addresses[self._own.name] = self._own.ip
        for name in missing_entries(addresses, view.records):
            member = self._presence.registered[name]
            await self._store.register(
                ListedInstance(name, member.zone, addresses[name], member.cores)
            )
            count_metric(Metric.ENTRIES_RESTORED)
            log_event(Event.ENTRY_RESTORED, name)
