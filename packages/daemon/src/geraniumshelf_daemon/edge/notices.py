"""Takes over what backend servers say of themselves."""

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
from geraniumshelf_daemon.edge.interface import AnswerFields
from geraniumshelf_daemon.observability.events import Event, log_event


class ServerNotices:
    """Stops the use of servers that leave, and tells the region.

    Args:
        placement: Backend servers.
        presence: What is known of the other daemons.
        own_heartbeat: Returns the newest beat of this daemon.
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
        port.register(DepartureNotice, self._take_told)

    def handle_answer(self, view: ServerView, fields: AnswerFields) -> None:
        """Take over what an answer says of its server."""
        now = self._clock()
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
            told = DepartureNotice(server.name, server.started_at_ms)
            if self._note(told):
                self._tell_region(told)

    def _take_told(self, told: DepartureNotice) -> None:
        self._note(told)

    def _note(self, told: DepartureNotice) -> bool:
        is_news = record_departure(self._placement, told)
        if is_news:
            log_event(Event.BACKEND_DEPARTING, told.server)
            rebuild_usable(self._placement)
        return is_news

    def _tell_region(self, told: DepartureNotice) -> None:
        region = self._regions.get(self._own_heartbeat().zone)
        for neighbour in self._presence.peers.values():
            beat = neighbour.heartbeat
            if beat.is_ready and self._regions.get(beat.zone) == region:
                self._port.send(beat.ip, told)
