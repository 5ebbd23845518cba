"""Handles notices of backend servers that pause, leave or name a limit."""

from collections.abc import Callable, Mapping
from typing import Final

from geraniumshelf_core.placement.cold_starts import count_recent_sends
from geraniumshelf_core.placement.commands import rebuild_usable
from geraniumshelf_core.placement.notices import (
    DepartureNotice,
    is_paused,
    record_departure,
    record_pause,
)
from geraniumshelf_core.placement.server_limits import (
    LimitStatement,
    NamedLimit,
    UnreadableLimit,
    record_statement,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Number of different unreadable limits that are logged.
_MAX_LOGGED_LIMITS: Final = 50


class ServerNotices:
    """Stops the use of leaving servers and notifies daemons of the region.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        regions: Region by availability zone.
        port: Sends datagrams to the other daemons.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        regions: Mapping[str, str],
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._regions = regions
        self._port = port
        self._clock = clock
        # Unreadable limits that were logged already; each is logged once.
        self._logged_limits: set[str] = set()
        port.register(DepartureNotice, self._receive_notice)

    def handle_response(
        self, view: ServerView, fields: ResponseFields, sent_at: Nanoseconds
    ) -> None:
        """Record the notices in the response to a request sent at a time."""
        now = self._clock()
        if not fields.is_misdirected:
            self._record_limit(view, fields.limit, sent_at, now)
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

    def _record_limit(
        self,
        view: ServerView,
        statement: LimitStatement,
        sent_at: Nanoseconds,
        now: Nanoseconds,
    ) -> None:
        match statement:
            case UnreadableLimit(text):
                self._log_unreadable(text)
            case NamedLimit():
                count_metric(Metric.LIMITS_NAMED)
        limit = view.notice.limit
        if not record_statement(limit, statement, sent_at, now):
            return
        if limit.rate is None:
            log_event(Event.BACKEND_UNLIMITED, view.server.name)
            return
        log_event(
            Event.BACKEND_LIMITED,
            view.server.name,
            rate=limit.rate,
            sent_last_s=count_recent_sends(view, now),
        )

    def _log_unreadable(self, text: str) -> None:
        count_metric(Metric.LIMITS_UNREADABLE)
        logged = self._logged_limits
        if text not in logged and len(logged) < _MAX_LOGGED_LIMITS:
            logged.add(text)
            log_event(Event.LIMIT_UNREADABLE, text)

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
