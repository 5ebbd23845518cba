"""Learns the limits that servers name and exchanges them between daemons."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define

from geraniumshelf_core.placement.cold_starts import count_recent_sends
from geraniumshelf_core.placement.limited_servers import (
    learn_from_daemon,
    learn_from_response,
    limited_views,
    make_limit_notice,
)
from geraniumshelf_core.placement.server_limits import (
    LimitNotice,
    LimitStatement,
    NamedLimit,
    NoLimit,
    UnreadableLimit,
)
from geraniumshelf_core.placement.spills import plan_spills
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import (
    count_metric,
    gauge_metric,
)

_INTERVAL_S: Final = 0.2
_JITTER_FRACTION: Final = 0.2
# Interval between two notices of one daemon about a server whose limit varies.
_MIN_NOTICE_MS: Final = 500
_MIN_NOTICE_NS: Final[Nanoseconds] = _MIN_NOTICE_MS * MILLISECOND_NS
# The owner repeats what it knows, as datagrams are lost and daemons start.
_REPEAT_NS: Final[Nanoseconds] = SECOND_NS
# The end of a limit is repeated for this time.
_END_REPEAT_NS: Final[Nanoseconds] = 10 * SECOND_NS
# Interval in which the owners are updated while there is no limit.
_IDLE_UPDATE_NS: Final[Nanoseconds] = SECOND_NS
# Number of different unreadable limits that are logged.
_MAX_LOGGED_LIMITS: Final = 50


@define(eq=False)
class _Publication:
    """What this daemon has told the others of a server.

    Attributes:
        view: The server.
        version: Version of the limit that was sent last.
        sent_at: Time of that message.
        ended_at: Time at which the limit was first seen to have ended.
    """

    view: ServerView
    version: int
    sent_at: Nanoseconds
    ended_at: Nanoseconds | None = None


class ServerLimits:
    """Knows the limits of the servers and tells the other daemons of them.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        owners: Daemons that grant the permits for limited servers.
        port: Sends and receives messages.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not send at the same time.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        owners: LimitOwners,
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._owners = owners
        self._port = port
        self._clock = clock
        self._random = random
        self._publications: dict[tuple[str, int], _Publication] = {}
        # Unreadable limits that were logged already; each is logged once.
        self._logged_limits: set[str] = set()
        port.register(LimitNotice, self.receive_notice)

    async def run(self) -> None:
        """Repeat what other daemons may not know until cancelled."""
        while True:
            self.step(self._clock())
            jitter = 1 + _JITTER_FRACTION * (self._random.random() - 0.5)
            await asyncio.sleep(_INTERVAL_S * jitter)

    def record(
        self,
        view: ServerView,
        statement: LimitStatement,
        sent_at: Nanoseconds,
        *,
        is_run: bool = True,
    ) -> None:
        """Record what the response to a request says about a limit.

        Args:
            view: The server that responded.
            statement: What its response says.
            sent_at: Time at which the request was sent.
            is_run: Whether the server ran the request. Rejections and health
                responses may name a limit, but do not end it.
        """
        match statement:
            case NoLimit() if not is_run:
                return
            case UnreadableLimit(text):
                self._log_unreadable(text)
            case NamedLimit():
                count_metric(Metric.LIMITS_NAMED)
        now = self._clock()
        if learn_from_response(self._placement, view, statement, sent_at, now):
            plan_spills(self._placement)
            self._log_change(view, now)
            key = _key(view)
            if key not in self._publications:
                self._publications[key] = _Publication(view, 0, 0)
            self._publish(self._publications[key], now)

    def receive_notice(self, notice: LimitNotice) -> None:
        """Record what another daemon knows of the limit of a server."""
        now = self._clock()
        if learn_from_daemon(self._placement, notice, now):
            plan_spills(self._placement)
            view = self._placement.servers.get(notice.server)
            is_listed = (
                view and view.server.started_at_ms == notice.started_at_ms
            )
            if view and is_listed:
                self._log_change(view, now)

    def step(self, now: Nanoseconds) -> None:
        """Send what is due to the other daemons."""
        views = limited_views(self._placement)
        if views or now - self._owners.updated_at >= _IDLE_UPDATE_NS:
            self._owners.update(now)
        gauge_metric(Metric.LIMITED_SERVERS, len(views))
        for view in views:
            if self._owners.is_owner(view.server.name):
                self._publications.setdefault(
                    _key(view), _Publication(view, 0, 0)
                )
        for key, publication in tuple(self._publications.items()):
            self._publish(publication, now)
            if self._is_finished(publication, now):
                del self._publications[key]

    def _publish(self, publication: _Publication, now: Nanoseconds) -> None:
        """Send the limit of a server if it is new or due to be repeated."""
        view = publication.view
        limit = view.notice.limit
        age = now - publication.sent_at
        is_new = publication.version != limit.version and age >= _MIN_NOTICE_NS
        is_due = age >= _REPEAT_NS and self._owners.is_owner(view.server.name)
        if limit.rate is not None:
            publication.ended_at = None
        elif publication.ended_at is None:
            publication.ended_at = now
        if is_new or is_due:
            publication.version = limit.version
            publication.sent_at = now
            self._send(view)

    def _is_finished(self, publication: _Publication, now: Nanoseconds) -> bool:
        view = publication.view
        if self._placement.servers.get(view.server.name) is not view:
            return True
        if publication.version != view.notice.limit.version:
            return False
        ended_at = publication.ended_at
        is_over = ended_at is not None and now - ended_at > _END_REPEAT_NS
        return is_over or not self._owners.is_owner(view.server.name)

    def _send(self, view: ServerView) -> None:
        datagram = encode_message(make_limit_notice(view))
        for peer in self._presence.peers.values():
            if peer.heartbeat.is_ready:
                self._port.send_encoded(peer.heartbeat.ip, datagram)

    def _log_change(self, view: ServerView, now: Nanoseconds) -> None:
        limit = view.notice.limit
        if limit.rate is None:
            log_event(Event.BACKEND_UNLIMITED, view.server.name)
            return
        log_event(
            Event.BACKEND_LIMITED,
            view.server.name,
            rate=limit.rate,
            version=limit.version,
            sent_last_s=count_recent_sends(view, now),
        )

    def _log_unreadable(self, text: str) -> None:
        count_metric(Metric.LIMITS_UNREADABLE)
        logged = self._logged_limits
        if text not in logged and len(logged) < _MAX_LOGGED_LIMITS:
            logged.add(text)
            log_event(Event.LIMIT_UNREADABLE, text)


def _key(view: ServerView) -> tuple[str, int]:
    return view.server.name, view.server.started_at_ms
