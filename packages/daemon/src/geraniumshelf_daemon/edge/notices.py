"""Handles notices of backend servers that pause, leave or name a limit."""

from collections.abc import Callable
from typing import Final

from attrs import define

from geraniumshelf_core.placement.commands import rebuild_usable
from geraniumshelf_core.placement.notices import (
    DepartureNotice,
    is_paused,
    record_departure,
    record_pause,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.edge.server_limits import ServerLimits
from geraniumshelf_daemon.observability.events import Event, log_event

# A departure is announced again in this interval, for this time.
_REPEAT_INTERVAL_MS: Final = 500
_REPEAT_INTERVAL_NS: Final[Nanoseconds] = _REPEAT_INTERVAL_MS * MILLISECOND_NS
_REPEAT_TIME_NS: Final[Nanoseconds] = 2 * SECOND_NS


@define
class _Announcement:
    """Times of the first and the last message about a departure."""

    first_at: Nanoseconds
    last_at: Nanoseconds


class ServerNotices:
    """Stops the use of leaving servers and notifies the other daemons.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        port: Sends datagrams to the other daemons.
        clock: Returns the current time, nanoseconds.
        limits: Records what responses say about limits.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        limits: ServerLimits,
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._port = port
        self._clock = clock
        self._limits = limits
        # Departures that are announced again, as datagrams may be lost.
        self._announced: dict[DepartureNotice, _Announcement] = {}
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
                self._announced[notice] = _Announcement(now, now)
                self._notify(notice)

    def repeat(self, now: Nanoseconds) -> None:
        """Announce recent departures again."""
        for notice, announcement in tuple(self._announced.items()):
            if now - announcement.first_at > _REPEAT_TIME_NS:
                del self._announced[notice]
            elif now - announcement.last_at >= _REPEAT_INTERVAL_NS:
                announcement.last_at = now
                self._notify(notice)

    def _receive_notice(self, notice: DepartureNotice) -> None:
        self._record(notice)

    def _record(self, notice: DepartureNotice) -> bool:
        is_new = record_departure(self._placement, notice)
        if is_new:
            log_event(Event.BACKEND_DEPARTING, notice.server)
            rebuild_usable(self._placement)
        return is_new

    def _notify(self, notice: DepartureNotice) -> None:
        for peer in self._presence.peers.values():
            if peer.heartbeat.is_ready:
                self._port.send(peer.heartbeat.ip, notice)
