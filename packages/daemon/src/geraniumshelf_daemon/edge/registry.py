"""Registers this instance and reads the entries of the others."""

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
    PlatformStore,
    RecordKind,
    RecordSet,
)
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Heartbeats announce new instances sooner. The registry also lists those from
# which no heartbeat ever came.
_READ_INTERVAL_S: Final = 10.0
# In a large fleet each list is long, and heartbeats already report how
# many daemons a zone has.
_LARGE_FLEET_READ_INTERVAL_S: Final = 60.0
_RETRY_DELAY_S: Final = 0.5
# Entries that the store has lost are written again within a few seconds.
_INCOMPLETE_READ_INTERVAL_S: Final = 2.0
# When a fleet starts for the first time, all instances register at about the
# same time, so the second read follows soon.
_SECOND_READ_DELAY_S: Final = PEER_DISCOVERY_MS / 1000 / 2
_RESTORE_WINDOW_S: Final = RESTORE_WINDOW_MS / 1000


class Registry:
    """Registry of all instances that run, or once ran, a daemon.

    Args:
        store: The platform's store, which keeps the registry.
        presence: Receives the registered instances.
        settings: Settings of this daemon.
        random: Adds jitter, so that daemons do not call at the same time.
        entry_role: Receives whether this instance was registered before.
    """

    def __init__(
        self,
        store: PlatformStore,
        presence: PresenceState,
        settings: EdgeSettings,
        random: Random,
        entry_role: EntryRole,
    ) -> None:
        self._store = store
        self._presence = presence
        self._entry_role = entry_role
        self._own_entry = ListedInstance(
            settings.name, settings.zone, settings.ip, settings.cores
        )
        self._random = random
        self._registry_state = RegistryState(entry_role.started_at)
        self._is_registered = False

    async def run(self) -> None:
        """Read the registry regularly until the task is cancelled."""
        while True:
            was_registered = self._is_registered
            try:
                await self._read()
            except PlatformError as error:
                log_event(Event.PLATFORM_LOST, error.detail)
            delay_s = self._next_delay_s(was_registered=was_registered)
            delay_s *= 0.5 + self._random.random()
            if await self._store.eras.wait_change(
                self._registry_state.era, delay_s
            ):
                await asyncio.sleep(_RESTORE_WINDOW_S * self._random.random())

    def _next_delay_s(self, *, was_registered: bool) -> float:
        if not self._is_registered:
            return _RETRY_DELAY_S
        if not self._presence.is_complete:
            return _INCOMPLETE_READ_INTERVAL_S
        if not was_registered and not self._entry_role.was_registered:
            return _SECOND_READ_DELAY_S
        has_short_interval = self._entry_role.is_entry or not is_large_fleet(
            self._presence
        )
        return (
            _READ_INTERVAL_S
            if has_short_interval
            else _LARGE_FLEET_READ_INTERVAL_S
        )

    async def _read(self) -> None:
        eras = self._store.eras
        is_era_outdated = self._registry_state.era is not None and (
            eras.newest > self._registry_state.era
        )
        allow_stale = self._presence.is_complete and not is_era_outdated
        view = await self._store.list_records(
            RecordKind.INSTANCES, allow_stale=allow_stale
        )
        has_new_era = record_list_era(self._registry_state, view.revision.era)
        self._register_listed(view)
        if not self._presence.is_complete:
            self._presence.is_complete = is_complete(
                self._registry_state, eras.now()
            )
        if not self._is_registered:
            self._entry_role.was_registered = (
                self._own_entry.name in view.records
            )
            if view.records.get(self._own_entry.name) != self._own_entry:
                await self._store.register(self._own_entry)
            self._is_registered = True
        elif has_new_era:
            await self._restore_missing_entries(view)

    def _register_listed(self, view: RecordSet) -> None:
        for record in view.records.values():
            if isinstance(record, ListedInstance):
                register_instance(
                    self._presence,
                    record.name,
                    RegisteredInstance(record.zone, record.cores),
                    record.ip,
                )

    async def _restore_missing_entries(self, view: RecordSet) -> None:
        """Write the entries again that an older copy of the store lacks."""
        addresses = {
            name: ip
            for ip, name in self._presence.heartbeat_targets.items()
            if name
        }
        addresses[self._own_entry.name] = self._own_entry.ip
        for name in missing_entries(addresses, view.records):
            instance = self._presence.registered[name]
            await self._store.register(
                ListedInstance(
                    name, instance.zone, addresses[name], instance.cores
                )
            )
            count_metric(Metric.ENTRIES_RESTORED)
            log_event(Event.ENTRY_RESTORED, name)
