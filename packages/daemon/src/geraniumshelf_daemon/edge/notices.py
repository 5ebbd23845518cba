"""Handles notices of backend servers that pause, leave or name a limit."""

from collections.abc import Callable, Mapping

from geraniumshelf_core.placement.commands import rebuild_usable
from geraniumshelf_core.placement.notices import (
    DepartureNotice,
    is_paused,
    record_departure,
    record_pause,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.edge.server_limits import ServerLimits
from geraniumshelf_daemon.observability.events import Event, log_event


class ServerNotices:
    """Stops the use of leaving servers and notifies daemons of the region.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        regions: Region by availability zone.
        port: Sends datagrams to the other daemons.
        clock: Returns the current time, nanoseconds.
        limits: Records what responses say about limits.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        regions: Mapping[str, str],
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        limits: ServerLimits,
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._regions = regions
        self._port = port
        self._clock = clock
        self._limits = limits
        port.register(DepartureNotice, self._receive_notice)

    def handle_response(
        self, view: ServerView, fields: ResponseFields, sent_at: Nanoseconds
    ) -> None:
        """Record the notices in the response to a request sent at a time."""
        now = self._clock()
        if not fields.is_misdirected:
            self._limits.record(
                view, fields.limit, sent_at, is_run=not fields.is_not_run
            )
        if fields.pause is not None:
            if not is_paused(view, now):
                log_event(
                    Event.BACKEND_PAUSED,
                    view.server.name,
                    pause_ms=fields.pause // MILLISECOND_NS,
                )
            record_pause(view, fields.pause, now)
        if fields.is_leaving:
            server = view.server
            notice = DepartureNotice(server.name, server.started_at_ms)
            if self._record(notice):
                self._notify_region(notice)

    def _receive_notice(self, notice: DepartureNotice) -> None:
        self._record(notice)

    def _record(self, notice: DepartureNotice) -> bool:
        is_new = record_departure(self._placement, notice)
        if is_new:
            log_event(Event.BACKEND_DEPARTING, notice.server)
            rebuild_usable(self._placement)
        return is_new

    def _notify_region(self, notice: DepartureNotice) -> None:
        region = self._regions.get(self._own_heartbeat().zone)
        for peer in self._presence.peers.values():
            heartbeat = peer.heartbeat
            if (
                heartbeat.is_ready
                and self._regions.get(heartbeat.zone) == region
            ):
                self._port.send(heartbeat.ip, notice)
