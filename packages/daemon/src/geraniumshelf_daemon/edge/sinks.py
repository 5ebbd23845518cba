"""Applies records of the store to the state of the daemon."""

from collections.abc import Callable
from typing import Final

from geraniumshelf_core.history.eras import EraState, advance_era
from geraniumshelf_core.history.servers import (
    ServerHistory,
    enter_era,
    is_outdated,
    record_former_server,
)
from geraniumshelf_core.placement.cold_starts import (
    confirm_list,
    count_recent_sends,
)
from geraniumshelf_core.placement.commands import (
    put_server,
    remove_server,
    set_evacuated,
)
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.site.model import (
    ListedServer,
    SiteConfiguration,
)
from geraniumshelf_core.site.routing import build_table
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
)
from geraniumshelf_daemon.edge.interface import EvacuatedZone, RecordSet
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Entries that expired during an outage of the store are registered again within
# about two seconds of its return.
MISSING_ENTRY_GRACE_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Cold time of a service before its configuration is known.
_DEFAULT_COLD_TIME_NS: Final[Nanoseconds] = 3 * SECOND_NS


class ConfigurationSink:
    """Puts the newest configuration in force.

    Args:
        state: Receives the routes.
        on_change: Called with each new configuration in force.
    """

    def __init__(self, state: EdgeState, on_change: Callable[[], None]) -> None:
        self._state = state
        self._on_change = on_change

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the configuration; keep the current one if it is missing."""
        self.change(view, now)

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the configuration unless the current one is as new."""
        for record in view.records.values():
            if isinstance(record, SiteConfiguration):
                self._apply_record(record)

    def _apply_record(self, configuration: SiteConfiguration) -> None:
        table = self._state.table
        if table and configuration.version <= table.configuration.version:
            return
        self._state.table = build_table(configuration)
        log_event(
            Event.REVISION_IN_FORCE,
            version=configuration.version,
            routes=sum(map(len, configuration.hosts.values())),
        )
        self._on_change()


class ServerSink:
    """Keeps the backend servers in line with the list of the store.

    Args:
        state: Receives the backend servers.
        store_available_since: Returns, for the current time, since when no
            entry has expired because of an outage of the store.
    """

    def __init__(
        self,
        state: EdgeState,
        store_available_since: Callable[[Nanoseconds], Nanoseconds],
    ) -> None:
        self._state = state
        self._store_available_since = store_available_since
        # Time since which the entry of a server in use is missing, by its name.
        self._missing: dict[str, Nanoseconds] = {}
        # An entry that expired and comes back with the same start time belongs
        # to a server that is not cold.
        self._history = ServerHistory()

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the full list of servers; those not in it are missing."""
        enter_era(self._history, view.revision.era, now)
        missing = self._placement.servers.keys() - view.records.keys()
        self._handle_missing(missing, now)
        self.change(view, now)
        confirm_list(self._placement, now)
        self._state.has_servers = True

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply changed and removed servers."""
        removed: set[str] = set()
        for name, record in view.records.items():
            if isinstance(record, ListedServer):
                self._apply_record(record, now)
            else:
                removed.add(name)
        self._handle_missing(removed, now)

    def expire_missing(self, now: Nanoseconds) -> None:
        """Remove the servers whose entries have not come back in time."""
        if self._missing and self._is_grace_over(now):
            for name in tuple(self._missing):
                self._remove_server(name, now)

    @property
    def _placement(self) -> PlacementState:
        return self._state.placement

    def _apply_record(self, server: ListedServer, now: Nanoseconds) -> None:
        view = self._placement.servers.get(server.name)
        current = view.server if view is not None else None
        if is_outdated(self._history, current, server, now):
            log_event(Event.ENTRY_OUTDATED, server.name)
            return
        self._put_server(server, now)

    def _is_grace_over(self, now: Nanoseconds) -> bool:
        """Return whether all entries that expired had time to come back."""
        return now - self._store_available_since(now) >= MISSING_ENTRY_GRACE_NS

    def _put_server(self, server: ListedServer, now: Nanoseconds) -> None:
        self._missing.pop(server.name, None)
        cold_time = 0
        if self._state.has_servers and self._has_just_started(server):
            cold_time = self._cold_time(server.service)
        put_server(self._placement, server, now, cold_time=cold_time)
        log_event(
            Event.BACKEND_LISTED,
            server.name,
            service=server.service,
            zone=server.zone,
            draining=server.is_draining,
            sequence=server.sequence,
        )
        view = self._placement.servers[server.name]
        cold_left = view.cold_until - now
        if cold_left > 0:
            log_event(
                Event.BACKEND_COLD,
                server.name,
                cold_for_ms=cold_left // MILLISECOND_NS,
                sent_last_s=count_recent_sends(view, now),
            )

    def _has_just_started(self, server: ListedServer) -> bool:
        current = self._placement.servers.get(server.name)
        if current is not None:
            return current.server.started_at_ms != server.started_at_ms
        former = self._history.former.pop(server.name, None)
        if former is None or not server.started_at_ms:
            return True
        return former.started_at_ms != server.started_at_ms

    def _cold_time(self, service: str) -> Nanoseconds:
        table = self._state.table
        if table is None:
            return _DEFAULT_COLD_TIME_NS
        declared = table.configuration.services.get(service)
        return declared.cold_time if declared else _DEFAULT_COLD_TIME_NS

    def _handle_missing(self, names: set[str], now: Nanoseconds) -> None:
        if not names:
            return
        if self._is_grace_over(now):
            for name in names:
                self._remove_server(name, now)
            return
        for name in names & self._placement.servers.keys():
            if name not in self._missing:
                self._missing[name] = now
                count_metric(Metric.ENTRIES_MISSING)
                log_event(Event.BACKEND_MISSING, name)

    def _remove_server(self, name: str, now: Nanoseconds) -> None:
        missing_since = self._missing.pop(name, now)
        view = self._placement.servers.get(name)
        if view is not None:
            record_former_server(self._history, view.server)
            remove_server(self._placement, name)
            log_event(
                Event.BACKEND_GONE,
                name,
                missing_ms=(now - missing_since) // MILLISECOND_NS,
            )


class EvacuationSink:
    """Keeps the evacuated zones, which get no new requests."""

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._eras = EraState()

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the full list of evacuated zones.

        The first list of a new era may lack evacuations written after the copy
        from which the store came back. They stay in force until a later list
        lacks them, too.
        """
        zones = {name for name, entry in view.records.items() if entry}
        if advance_era(self._eras, view.revision.era):
            zones |= self._state.placement.evacuated
        self._set_evacuated(frozenset(zones), now)
        self._state.has_evacuations = True

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply evacuations that began or ended."""
        zones = set(self._state.placement.evacuated)
        for name, record in view.records.items():
            if isinstance(record, EvacuatedZone):
                zones.add(name)
            else:
                zones.discard(name)
        self._set_evacuated(frozenset(zones), now)

    def _set_evacuated(self, zones: frozenset[str], now: Nanoseconds) -> None:
        placement = self._state.placement
        for zone in zones - placement.evacuated:
            log_event(Event.ZONE_EVACUATED, zone)
        for zone in placement.evacuated - zones:
            log_event(Event.ZONE_RETURNED, zone)
        set_evacuated(placement, zones, now, self._max_cold_time())

    def _max_cold_time(self) -> Nanoseconds:
        table = self._state.table
        services = table.configuration.services.values() if table else ()
        return max(
            (service.cold_time for service in services),
            default=_DEFAULT_COLD_TIME_NS,
        )
