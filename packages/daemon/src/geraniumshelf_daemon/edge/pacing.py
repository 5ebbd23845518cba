"""Reports which servers are paced, and counts the daemons that share them."""

import asyncio
from collections.abc import Callable
from typing import Final

from geraniumshelf_core.placement.pacing import is_paced
from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import gauge_metric

_INTERVAL_S: Final = 0.2


class PaceMonitor:
    """Follows the paces of servers at regular intervals.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._clock = clock
        # Time since which servers are paced, by name.
        self._paced: dict[str, Nanoseconds] = {}

    async def run(self) -> None:
        """Follow the paces until cancelled."""
        while True:
            self.step(self._clock())
            await asyncio.sleep(_INTERVAL_S)

    def step(self, now: Nanoseconds) -> None:
        """Count the daemons, report changes and set the gauge."""
        placement = self._placement
        placement.region_entries = self._count_entries()
        paced = {
            name: view.pace
            for name, view in placement.servers.items()
            if view.pace is not None and is_paced(view, now)
        }
        for name in self._paced.keys() - paced.keys():
            paced_ms = (now - self._paced.pop(name)) // MILLISECOND_NS
            log_event(Event.SERVER_UNPACED, name, paced_ms=paced_ms)
        for name, pace in paced.items():
            if name not in self._paced:
                self._paced[name] = now
                log_event(
                    Event.SERVER_PACED,
                    name,
                    cause=pace.cause.value,
                    rate=round(pace.rate, 1),
                )
        gauge_metric(Metric.PACED_SERVERS, len(paced))

    def _count_entries(self) -> int:
        """Return how many daemons of the own region take callers."""
        placement = self._placement
        heartbeats = (peer.heartbeat for peer in self._presence.peers.values())
        return 1 + sum(
            heartbeat.is_ready
            and placement.regions.get(heartbeat.zone) == placement.place.region
            for heartbeat in heartbeats
        )
