"""Exchanges readings of servers with the other daemons."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from geraniumshelf_core.placement.readings import (
    Reading,
    ServerReadings,
    learn_readings,
    make_readings,
    travel_time,
)
from geraniumshelf_core.placement.speeds import (
    record_speed,
    reported_at,
    reports_speeds,
)
from geraniumshelf_core.placement.state import (
    LONG_AGO,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.interface import ResponseFields
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

_INTERVAL_S: Final = 0.1
# Jitter as a fraction of the interval.
_JITTER: Final = 0.2
# Other regions get readings in every second round. The jitter may shorten two
# rounds to 180 ms.
_REMOTE_INTERVAL_MS: Final = 150
_REMOTE_INTERVAL_NS: Final[Nanoseconds] = _REMOTE_INTERVAL_MS * MILLISECOND_NS
# Daemons of other regions that get one round, chosen at random if there are
# more, so that the messages do not grow with the square of the fleet.
_MAX_REMOTE_RECEIVERS: Final = 16
# A daemon that has sent no readings for this time may not know the message, or
# have no use for it. It gets one in each probe interval only, because daemons
# of earlier versions log each datagram that they do not know.
_MAX_SILENCE_NS: Final[Nanoseconds] = 10 * SECOND_NS
_PROBE_INTERVAL_NS: Final[Nanoseconds] = SECOND_NS

# Readings by server name, the newest last.
_Pending = dict[str, Reading]


class ReadingExchange:
    """Records the readings of servers and tells the other daemons of them.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        name: Name of this daemon.
        port: Sends and receives messages.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter and chooses receivers.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        name: str,
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._name = name
        self._port = port
        self._clock = clock
        self._random = random
        # Readings that the own region and the other regions have not got.
        self._local: _Pending = {}
        self._remote: _Pending = {}
        self._remote_sent_at: Nanoseconds = LONG_AGO
        self._probed_at: Nanoseconds = LONG_AGO
        # Time of the last readings from each daemon, by its name.
        self._heard_at: dict[str, Nanoseconds] = {}
        self._has_new = asyncio.Event()
        port.register(ServerReadings, self.receive)

    async def run(self) -> None:
        """Send new readings until cancelled; wait while there are none."""
        while True:
            await self._has_new.wait()
            self.send(self._clock())
            jitter = 1 + _JITTER * (self._random.random() - 0.5)
            await asyncio.sleep(_INTERVAL_S * jitter)

    def handle_response(self, view: ServerView, fields: ResponseFields) -> None:
        """Record the reading in a response of a server."""
        load = fields.load
        if load is None or load.speed is None or fields.is_misdirected:
            return
        placement = self._placement
        if not placement.policies.shares_readings:
            return
        now = self._clock()
        server = view.server
        if record_speed(placement, view, load.speed, now):
            log_event(
                Event.SERVER_SPEED_KNOWN,
                server.service,
                server=server.name,
                speed=load.speed,
            )
        reading = Reading(
            server.name,
            load.running,
            load.waiting,
            load.speed,
            reported_at(placement, view, now),
        )
        for pending in (self._local, self._remote):
            # The newest reading moves to the end.
            pending.pop(server.name, None)
            pending[server.name] = reading
        self._has_new.set()

    def receive(self, message: ServerReadings) -> None:
        """Record the readings of another daemon.

        Without servers that report their speed to this daemon, the message has
        no use.
        """
        now = self._clock()
        if not reports_speeds(self._placement, now):
            return
        peer = self._presence.peers.get(message.sender)
        if peer is not None:
            self._heard_at[message.sender] = now
        zone = peer.heartbeat.zone if peer else None
        travel = travel_time(self._placement, zone)
        count = learn_readings(self._placement, message, travel, now)
        count_metric(Metric.READINGS_RECEIVED, count)

    def send(self, now: Nanoseconds) -> None:
        """Send the new readings that are due."""
        is_remote_due = now - self._remote_sent_at >= _REMOTE_INTERVAL_NS
        local, remote = self._receivers(now, is_probe_due=is_remote_due)
        self._send(self._local, local, now)
        if is_remote_due:
            self._remote_sent_at = now
            if len(remote) > _MAX_REMOTE_RECEIVERS:
                remote = self._random.sample(remote, _MAX_REMOTE_RECEIVERS)
            self._send(self._remote, remote, now)
        if not self._remote:
            self._has_new.clear()

    def _send(
        self, pending: _Pending, receivers: list[str], now: Nanoseconds
    ) -> None:
        if pending and receivers:
            newest_first = reversed(pending.values())
            message = make_readings(self._name, newest_first, now)
            if message is not None:
                datagram = encode_message(message)
                for ip in receivers:
                    self._port.send_encoded(ip, datagram)
                count_metric(
                    Metric.READINGS_SENT, len(message.names) * len(receivers)
                )
        pending.clear()

    def _receivers(
        self, now: Nanoseconds, *, is_probe_due: bool
    ) -> tuple[list[str], list[str]]:
        """Return the IP addresses of the receivers in this and other regions.

        Args:
            now: Current time.
            is_probe_due: Whether daemons that have sent no readings get some if
                the last probe is old enough.
        """
        is_probe = is_probe_due and now - self._probed_at >= _PROBE_INTERVAL_NS
        if is_probe:
            self._probed_at = now
            self._heard_at = {
                name: at
                for name, at in self._heard_at.items()
                if name in self._presence.peers
            }
        placement = self._placement
        local: list[str] = []
        remote: list[str] = []
        for name, peer in self._presence.peers.items():
            heartbeat = peer.heartbeat
            silence = now - self._heard_at.get(name, LONG_AGO)
            if heartbeat.is_ready and (is_probe or silence <= _MAX_SILENCE_NS):
                region = placement.regions.get(heartbeat.zone)
                is_local = region == placement.place.region
                (local if is_local else remote).append(heartbeat.ip)
        return local, remote
