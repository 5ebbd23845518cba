"""Daemons that grant the permits for servers with a limit."""

from collections.abc import Callable, Mapping
from typing import Final

from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.permits import (
    Granters,
    choose_granters,
    granted_fraction,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Time for which a daemon that fell silent may still grant permits behind a cut.
_LOST_S: Final = 600
_LOST_NS: Final[Nanoseconds] = _LOST_S * SECOND_NS


class LimitOwners:
    """Owners of limited servers, as known to this daemon.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        regions: Region by availability zone.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        regions: Mapping[str, str],
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._regions = regions
        # Ready daemons by region.
        self._ready: dict[str, tuple[str, ...]] = {}
        self._granters: dict[str, Granters | None] = {}
        # Time and region of daemons that were ready when they fell silent.
        self._lost: dict[str, tuple[Nanoseconds, str]] = {}
        self._updated_at: Nanoseconds = 0

    @property
    def updated_at(self) -> Nanoseconds:
        """Return the time of the last update."""
        return self._updated_at

    def update(self, now: Nanoseconds) -> None:
        """Update the daemons that may grant permits."""
        self._updated_at = now
        ready: dict[str, list[str]] = {}
        peers = self._presence.peers
        heartbeats = (peer.heartbeat for peer in peers.values())
        for heartbeat in (self._own_heartbeat(), *heartbeats):
            if heartbeat.is_ready:
                region = self._regions.get(heartbeat.zone, '')
                ready.setdefault(region, []).append(heartbeat.name)
        current = {
            region: tuple(sorted(names)) for region, names in ready.items()
        }
        if current != self._ready:
            self._record_lost(current, now)
            self._ready = current
        self._granters = {}

    def granters_of(self, server: str) -> Granters | None:
        """Return the daemons that grant the permits for a server."""
        if server not in self._granters:
            self._granters[server] = choose_granters(
                server,
                self._ready.get(self._region_of(server), ()),
                (name for names in self._ready.values() for name in names),
            )
        return self._granters[server]

    def is_owner(self, server: str) -> bool:
        """Return whether this daemon grants the permits for a server."""
        granters = self.granters_of(server)
        own_name = self._own_heartbeat().name
        return granters is not None and granters.owner == own_name

    def own_fraction(self, server: str, now: Nanoseconds) -> float:
        """Return the fraction of a server's rate that this daemon grants."""
        granters = self.granters_of(server)
        if granters is None:
            return 0
        region = self._region_of(server)
        lost = sum(
            lost_region == region and now - lost_at <= _LOST_NS
            for lost_at, lost_region in self._lost.values()
        )
        known = len(self._ready.get(region, ()))
        return granted_fraction(
            granters, self._own_heartbeat().name, known, lost
        )

    def _region_of(self, server: str) -> str:
        view = self._placement.servers.get(server)
        return view.region if view is not None else ''

    def _record_lost(
        self, current: Mapping[str, tuple[str, ...]], now: Nanoseconds
    ) -> None:
        own_name = self._own_heartbeat().name
        for region, names in self._ready.items():
            for name in names:
                is_known = name in self._presence.peers or name == own_name
                if not is_known and name not in current.get(region, ()):
                    self._lost[name] = (now, region)
        for name in self._presence.peers:
            self._lost.pop(name, None)
