"""Collection and sharing of loads and traffic."""

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
from geraniumshelf_daemon.observability.metrics import Metrics
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.steering.demand import DemandMeter
from geraniumshelf_daemon.steering.interface import (
    Clock,
    DaemonIdentity,
    FetchLoad,
    ServerAnswer,
    WatcherSource,
)

_PERIOD_S: Final = 1

# Peers of the own region get each poll. Other regions steer by the loads, which
# may lag, and get fewer reports; they also use the servers when their own have
# no room, and hear at once of a server that leaves. With 5 and 2 rounds, frames
# of nine daemons would add up to 2.4 KB/s for each; the bound for the whole
# control plane is 2 KB/s.
_FAR_ROUNDS: Final = 10
_DEMAND_ROUNDS: Final = 5

_SERVER_ROW: Final = (str, int, int, int)
_DEMAND_ROW: Final = (str, str, int)


@frozen
class _Recorded:
    """What a report brought.

    Attributes:
        is_new: Whether it was not known.
        tells_departure: Whether a server in it leaves that was not known to.
    """

    is_new: bool
    tells_departure: bool


@define
class LoadCollector:
    """Polls the backend servers of the own zone and shares what it learns.

    Attributes:
        identity: Who this daemon is.
        configurations: The configuration in force.
        entries: The live entry instances.
        peers: Links to peers.
        watchers: Tells whether this daemon polls.
        fetch: Asks one backend server.
        clock: Source of the current time.
        meter: Traffic at this daemon.
        load_table: All reports; others read it.
        metrics: Where failed polls are counted.
    """

    identity: DaemonIdentity
    configurations: ConfigurationSource
    entries: EntrySource
    peers: PeerNetwork
    watchers: WatcherSource
    fetch: FetchLoad
    clock: Clock
    meter: DemandMeter = Factory(DemandMeter)
    load_table: LoadTable = Factory(LoadTable)
    metrics: Metrics = Factory(Metrics)
    _round: int = 0

    def register(self) -> None:
        """Receive reports from peers."""
        self.peers.register(LoadReport, self._on_loads)
        self.peers.register(DemandReport, self._on_demand)

    async def run(self) -> None:
        """Collect and share once a second, for ever."""
        while True:
            await self.collect()
            await asyncio.sleep(_PERIOD_S)

    async def collect(self) -> None:
        """Poll if this daemon is a watcher, and share what is due."""
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
        own = [row for row in servers if row.zone == self.identity.zone]
        answers = await asyncio.gather(
            *(self.fetch(server.address) for server in own)
        )
        report = LoadReport(
            self.identity.origin,
            self._round,
            len(self.peers.connected()),
            0,
            tuple(self._rows(zip(own, answers, strict=True))),
        )
        if not report.servers:
            return
        recorded = self._record(report)
        self._send_loads(report, '', is_urgent=recorded.tells_departure)

    def _rows(
        self, answers: Iterable[tuple[BackendServer, ServerAnswer | None]]
    ) -> Iterable[tuple[str, int, int, int]]:
        for server, answer in answers:
            if answer is None:
                self.metrics.count(Metric.LOAD_POLLS_FAILED)
                continue
            yield (
                server.name,
                answer.in_flight,
                answer.slots,
                int(answer.is_leaving),
            )

    def _record(self, report: LoadReport) -> _Recorded:
        departing = [
            name
            for name, _, _, is_leaving in report.servers
            if is_leaving and not is_server_leaving(self.load_table, name)
        ]
        is_new = record_loads(self.load_table, report, self.clock())
        for name in departing if is_new else ():
            log_event(Event.BACKEND_LEAVING, server=name)
        return _Recorded(is_new, bool(departing))

    def _report_demand(self) -> None:
        now = self.clock()
        report = DemandReport(
            self.identity.instance,
            self.identity.origin,
            self._round,
            len(self.peers.connected()),
            self.meter.take(now),
        )
        record_demand(self.load_table, report, now)
        self._send(report, frozenset(self.peers.connected()))

    async def _on_loads(self, peer: str, report: LoadReport) -> None:
        check_rows(report.servers, _SERVER_ROW)
        recorded = self._record(report)
        if recorded.is_new and self._is_relay_needed(report.link_count):
            self._send_loads(report, peer, is_urgent=recorded.tells_departure)

    async def _on_demand(self, peer: str, report: DemandReport) -> None:
        check_rows(report.requests, _DEMAND_ROW)
        is_new = record_demand(self.load_table, report, self.clock())
        if is_new and self._is_relay_needed(report.link_count):
            self._send(report, frozenset(self.peers.connected()) - {peer})

    def _is_relay_needed(self, links: int) -> bool:
        return links + 1 < len(self.entries.entries())

    def _send_loads(
        self, report: LoadReport, sender: str, *, is_urgent: bool
    ) -> None:
        regions = {row.instance: row.region for row in self.entries.entries()}
        is_far_due = is_urgent or report.sequence % _FAR_ROUNDS == 0
        self._send(
            report,
            frozenset(
                peer
                for peer in self.peers.connected()
                if is_far_due or regions.get(peer) == self.identity.region
            )
            - {sender},
        )

    def _send(self, report: Any, receivers: frozenset[str]) -> None:
        for peer in sorted(receivers):
            self.peers.notify(peer, report)
