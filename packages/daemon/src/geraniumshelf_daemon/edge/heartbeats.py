"""Heartbeats between daemons."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import evolve

from geraniumshelf_core.presence.commands import (
    expire_silent_peers,
    record_heartbeat,
)
from geraniumshelf_core.presence.queries import (
    FAR_INTERVAL_NS,
    heartbeat_interval,
    is_large_fleet,
    is_relay,
    zone_heartbeats,
    zone_size,
)
from geraniumshelf_core.presence.state import (
    LONG_AGO_NS,
    PresenceHeartbeat,
    PresenceState,
    StoreReport,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.observability.events import Event, log_event

# Addresses in one datagram, chosen at random; the registry holds all of them.
_MOST_KNOWN: Final = 16
_MOST_KNOWN_IN_LARGE: Final = 2
# Time between two rounds of beats; not all instances get one in each.
_ROUND_S: Final = 0.5
# Beats of all daemons must not fall together.
_INTERVAL_SPREAD: Final = 0.2
# A beat that would be due before the middle of the next round goes out now.
_EARLY_MS: Final = 250
_EARLY_NS: Final[Nanoseconds] = _EARLY_MS * MILLISECOND_NS


class Heartbeats:
    """Sends beats to all known instances and takes theirs."""

    def __init__(
        self,
        state: PresenceState,
        own: PresenceHeartbeat,
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._own = own
        self._port = port
        self._clock = clock
        self._random = random
        self._confirmed_at: Nanoseconds | None = None
        # Time of the next beat by IP address.
        self._due: dict[str, Nanoseconds] = {}
        port.register(PresenceHeartbeat, self._take_beat)

    @property
    def own(self) -> PresenceHeartbeat:
        """Return the newest beat of this daemon."""
        return self._own

    async def run(self) -> None:
        """Send beats until the task is cancelled."""
        while True:
            now = self._clock()
            for name in expire_silent_peers(self._state, now):
                log_event(Event.INSTANCE_LOST, name)
            self.send(now)
            spread = 1 + _INTERVAL_SPREAD * (self._random.random() - 0.5)
            await asyncio.sleep(_ROUND_S * spread)

    def confirm(self, news: StoreReport) -> None:
        """Take over what the next beats tell of the store."""
        self._confirmed_at = news.confirmed_at
        self._own = evolve(
            self._own,
            changes=news.changes,
            version=news.version,
            store_era=news.era,
            store_available_for=news.store_available_for,
        )

    def announce(
        self, *, is_ready: bool, is_standby: bool, rate: float = 0
    ) -> None:
        """Tell all others at once whether this daemon takes callers.

        Args:
            is_ready: Whether it takes callers.
            is_standby: Whether it would.
            rate: Requests a second that come to it; told with the next beat.
        """
        own = evolve(self._own, rate=float(rate))
        self._own = own
        if (is_ready, is_standby) != (own.is_ready, own.is_standby):
            self._own = evolve(own, is_ready=is_ready, is_standby=is_standby)
            self._due.clear()
            self.send(self._clock())
            self._tell_far_entries()

    def _tell_far_entries(self) -> None:
        """Tell the entries that get no beats any more of the change."""
        datagram = encode_message(
            evolve(self._own, next_heartbeat_in=FAR_INTERVAL_NS)
        )
        for neighbour in self._state.peers.values():
            beat = neighbour.heartbeat
            if beat.is_standby or beat.zone == self._own.zone:
                continue
            if heartbeat_interval(self._state, self._own, beat.name) is None:
                self._port.send_encoded(beat.ip, datagram)

    def send(self, now: Nanoseconds) -> None:
        """Send a beat to all known instances whose turn it is."""
        targets = self._state.heartbeat_targets
        known = tuple(targets)
        most = _MOST_KNOWN
        if is_large_fleet(self._state):
            most = _MOST_KNOWN_IN_LARGE
        if len(known) > most:
            known = tuple(self._random.sample(known, most))
        self._own = evolve(
            self._own,
            sequence=self._own.sequence + 1,
            known_ips=known,
            zone_size=zone_size(self._state, self._own.zone),
            configuration_age=(
                LONG_AGO_NS
                if self._confirmed_at is None
                else now - self._confirmed_at
            ),
        )
        datagrams: dict[Nanoseconds, bytes] = {}
        for ip, name in tuple(targets.items()):
            if self._due.get(ip, 0) > now + _EARLY_NS:
                continue
            interval = heartbeat_interval(self._state, self._own, name)
            if interval is None:
                continue
            if interval not in datagrams:
                beat = evolve(self._own, next_heartbeat_in=interval)
                datagrams[interval] = encode_message(beat)
            self._due[ip] = now + interval
            self._port.send_encoded(ip, datagrams[interval])

    def _take_beat(self, beat: PresenceHeartbeat) -> None:
        if beat.name == self._own.name:
            return
        is_new = record_heartbeat(self._state, beat, self._clock())
        if is_new:
            log_event(Event.INSTANCE_FOUND, beat.name, zone=beat.zone)
            interval = heartbeat_interval(self._state, self._own, beat.name)
            if interval is not None:
                answer = evolve(self._own, next_heartbeat_in=interval)
                self._port.send(beat.ip, answer)
        if self._state.peers[beat.name].heartbeat is beat:
            self._relay(beat)

    def _relay(self, beat: PresenceHeartbeat) -> None:
        """Tell the daemons of the zone of an entry of another one.

        Only a beat that was not known before is passed on, as two daemons may
        take themselves for the relay.
        """
        own = self._own
        if beat.zone == own.zone or not is_large_fleet(self._state):
            return
        if not is_relay(self._state, own):
            return
        datagram = encode_message(beat)
        for near in zone_heartbeats(self._state, own.zone):
            self._port.send_encoded(near.ip, datagram)
