"""Exchanges reports of the demand of callers with the other daemons."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.placement.demand import (
    DemandReport,
    expire_reports,
    make_report,
    measure,
    record_report,
)
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.queries import is_large_fleet
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

_SEND_INTERVAL_S: Final = 0.5
# Jitter as a fraction of the interval, so that the daemons do not all send at
# the same time.
_SEND_JITTER: Final = 0.2


class DemandReports:
    """Reports the demand of this daemon's callers and receives reports.

    In a small fleet nothing is sent, and spills are planned by slots.

    Args:
        placement: State that holds the demand.
        presence: State of the other daemons.
        port: Socket for datagrams.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        port: DatagramPort,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._port = port
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._random = random
        self._sequence = 0
        port.register(DemandReport, self.receive)

    async def run(self) -> None:
        """Measure and report the demand until the task is cancelled."""
        while True:
            self.step(self._clock())
            jitter = 1 + _SEND_JITTER * (self._random.random() - 0.5)
            await asyncio.sleep(_SEND_INTERVAL_S * jitter)

    def step(self, now: Nanoseconds) -> None:
        """Measure the demand and report it to all ready daemons."""
        demand = self._placement.demand
        own = self._own_heartbeat()
        ready = tuple(
            peer.heartbeat
            for peer in self._presence.peers.values()
            if peer.heartbeat.is_ready
        )
        measure(demand, now)
        expire_reports(demand, now)
        demand.is_exchanged = is_large_fleet(self._presence)
        demand.entry_regions = frozenset(
            self._placement.regions.get(heartbeat.zone, '')
            for heartbeat in ready
        ) - {''}
        if not own.is_ready or not self._is_used():
            return
        self._sequence += 1
        report = make_report(demand, own.name, own.zone, self._sequence)
        # The own report counts as the others have it, so that the daemons of
        # a region come to the same plan.
        record_report(demand, report, self._placement.place.region, now)
        datagram = encode_message(report)
        for heartbeat in ready:
            self._port.send_encoded(heartbeat.ip, datagram)

    def receive(self, report: DemandReport) -> None:
        """Record the report of another daemon."""
        region = self._placement.regions.get(report.zone)
        is_own = report.sender == self._own_heartbeat().name
        if region is None or is_own or not self._is_used():
            return
        if record_report(self._placement.demand, report, region, self._clock()):
            count_metric(Metric.DEMAND_REPORTS_RECEIVED)

    def _is_used(self) -> bool:
        is_large = is_large_fleet(self._presence)
        return is_large and self._placement.policies.plans_by_demand
