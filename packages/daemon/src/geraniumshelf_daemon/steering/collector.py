"""Collects server loads and traffic and reports them to peers."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from attrs import Factory, define, frozen

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.loads.commands import (
    expire_reports,
    record_demand,
    record_loads,
)
from geraniumshelf_core.loads.queries import is_server_leaving
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.messages.rows import check_rows
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_daemon.lookups.interface import EntrySource
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import StatsdMetrics
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.demand import DemandMeter
from geraniumshelf_daemon.steering.interface import (
    Clock,
    DaemonIdentity,
    FetchLoad,
    PolledLoad,
    WatcherSource,
)

_POLL_INTERVAL_S: Final = 1

# Rounds between load reports to other regions, and between demand reports.
# Peers in the own region get the loads of each poll. Peers in other regions use
# the loads to steer traffic and tolerate a delay, so they get fewer reports.
# They also send requests to these servers when their own have no capacity left,
# so they are notified at once when a server is leaving. With 5 and 2 rounds,
# the frames of nine daemons would add up to 2.4 KB/s for each daemon; the limit
# for the whole control plane is 2 KB/s.
_OTHER_REGION_ROUNDS: Final = 10
_DEMAND_ROUNDS: Final = 5

_SERVER_ROW: Final = (str, int, int, int)
_DEMAND_ROW: Final = (str, str, int)


@frozen
class _RecordResult:
    """The result of recording a report.

    Attributes:
        is_new: Whether the report was not known yet.
        has_departures: Whether it has a leaving server that was not known to
            be leaving.
    """

    is_new: bool
    has_departures: bool


@define
class LoadCollector:
    """Polls the backend servers of the own zone and reports to peers.

    Attributes:
        identity: Identity of this daemon.
        configurations: Source of the configuration in force.
        entries: Source of the live entry instances.
        peers: Links to peers.
        watchers: Decides whether this daemon is a watcher, which polls.
        fetch_load: Requests the load of one backend server.
        clock: Source of the current time.
        meter: Meter of the traffic at this daemon.
        load_table: All received reports; other parts of the daemon read it.
        metrics: Metrics that count failed polls.
    """

    identity: DaemonIdentity
    configurations: ConfigurationSource
    entries: EntrySource
    peers: PeerNetwork
    watchers: WatcherSource
    fetch_load: FetchLoad
    clock: Clock
    meter: DemandMeter = Factory(DemandMeter)
    load_table: LoadTable = Factory(LoadTable)
    metrics: StatsdMetrics = Factory(StatsdMetrics)
    _round: int = 0

    def register(self) -> None:
        """Register the handlers of reports from peers."""
        self.peers.register(LoadReport, self._on_load_report)
        self.peers.register(DemandReport, self._on_demand_report)

    async def run(self) -> None:
        """Collect and report once a second until cancelled."""
        while True:
            await self.collect()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def collect(self) -> None:
        """Poll if this daemon is a watcher, and send the reports due."""
        self._round += 1
        if self.watchers.is_watcher(self.clock()):
            await self._poll()
        if self._round % _DEMAND_ROUNDS == 0:
            self._report_demand()
        live = frozenset(entry.instance for entry in self.entries.entries())
        expire_reports(self.load_table, live, self.clock())

    async def _poll(self) -> None:
        configuration = self.configurations.configuration
        servers = [] if configuration is None else configuration.servers
        own_servers = [row for row in servers if row.zone == self.identity.zone]
        loads = await asyncio.gather(
            *(self.fetch_load(server.address) for server in own_servers)
        )
        report = LoadReport(
            self.identity.origin,
            self._round,
            len(self.peers.connected_peers()),
            0,
            tuple(self._rows(zip(own_servers, loads, strict=True))),
        )
        if not report.servers:
            return
        recorded = self._record(report)
        self._send_loads(report, '', is_urgent=recorded.has_departures)

    def _rows(
        self, loads: Iterable[tuple[BackendServer, PolledLoad | None]]
    ) -> Iterable[tuple[str, int, int, int]]:
        for server, load in loads:
            if load is None:
                self.metrics.count(Metric.LOAD_POLLS_FAILED)
                continue
            yield (
                server.name,
                load.in_flight,
                load.slots,
                int(load.is_leaving),
            )

    def _record(self, report: LoadReport) -> _RecordResult:
        departing = [
            name
            for name, _, _, is_leaving in report.servers
            if is_leaving and not is_server_leaving(self.load_table, name)
        ]
        is_new = record_loads(self.load_table, report, self.clock())
        for name in departing if is_new else ():
            log_event(Event.BACKEND_LEAVING, server=name)
        return _RecordResult(is_new, bool(departing))

    def _report_demand(self) -> None:
        now = self.clock()
        report = DemandReport(
            self.identity.instance,
            self.identity.origin,
            self._round,
            len(self.peers.connected_peers()),
            self.meter.collect_demand(now),
        )
        record_demand(self.load_table, report, now)
        self._send(report, frozenset(self.peers.connected_peers()))

    async def _on_load_report(self, peer: str, report: LoadReport) -> None:
        check_rows(report.servers, _SERVER_ROW)
        recorded = self._record(report)
        if recorded.is_new and self._is_relay_needed(report.link_count):
            self._send_loads(report, peer, is_urgent=recorded.has_departures)

    async def _on_demand_report(self, peer: str, report: DemandReport) -> None:
        check_rows(report.requests, _DEMAND_ROW)
        is_new = record_demand(self.load_table, report, self.clock())
        if is_new and self._is_relay_needed(report.link_count):
            self._send(report, frozenset(self.peers.connected_peers()) - {peer})

    def _is_relay_needed(self, sender_links: int) -> bool:
        return sender_links + 1 < len(self.entries.entries())

    def _send_loads(
        self, report: LoadReport, sender: str, *, is_urgent: bool
    ) -> None:
        regions = {row.instance: row.region for row in self.entries.entries()}
        is_other_region_due = (
            is_urgent or report.sequence % _OTHER_REGION_ROUNDS == 0
        )
        self._send(
            report,
            frozenset(
                peer
                for peer in self.peers.connected_peers()
                if is_other_region_due
                or regions.get(peer) == self.identity.region
            )
            - {sender},
        )

    def _send(self, report: Any, receivers: frozenset[str]) -> None:
        for peer in sorted(receivers):
            self.peers.notify(peer, report)
