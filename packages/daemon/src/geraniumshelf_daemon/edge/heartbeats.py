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
    CROSS_ZONE_INTERVAL_NS,
    heartbeat_interval,
    is_large_fleet,
    is_relay,
    zone_heartbeats,
    zone_size,
)
from geraniumshelf_core.presence.state import (
    INITIAL_AGE_NS,
    PresenceHeartbeat,
    PresenceState,
    StoreReport,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.followed_kinds import is_change_urgent
from geraniumshelf_daemon.edge.messages import encode_message
from geraniumshelf_daemon.observability.events import Event, log_event

# Addresses of other instances in one datagram, chosen at random. The registry
# holds all of them.
_MAX_KNOWN_IPS: Final = 16
_MAX_KNOWN_IPS_IN_LARGE_FLEET: Final = 2
# Time between two rounds of heartbeats. Not every instance gets one in each
# round.
_SEND_INTERVAL_S: Final = 0.5
# Jitter as a fraction of the interval, so that the daemons do not all send at
# the same time.
_SEND_JITTER: Final = 0.2
# A heartbeat that is due before the middle of the next round is sent now.
_MAX_EARLY_MS: Final = 250
_MAX_EARLY_NS: Final[Nanoseconds] = _MAX_EARLY_MS * MILLISECOND_NS


class Heartbeats:
    """Sends heartbeats to the known instances and receives theirs.

    Args:
        state: State of the other daemons.
        initial_heartbeat: First heartbeat of this daemon.
        port: Socket for datagrams.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not send at the same time.
    """

    def __init__(
        self,
        state: PresenceState,
        initial_heartbeat: PresenceHeartbeat,
        port: DatagramPort,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._own_heartbeat = initial_heartbeat
        self._port = port
        self._clock = clock
        self._random = random
        self._configuration_confirmed_at: Nanoseconds | None = None
        # Time of the next heartbeat by IP address.
        self._next_send_at: dict[str, Nanoseconds] = {}
        port.register(PresenceHeartbeat, self._receive_heartbeat)

    @property
    def own_heartbeat(self) -> PresenceHeartbeat:
        """Return the newest heartbeat of this daemon."""
        return self._own_heartbeat

    async def run(self) -> None:
        """Send heartbeats until the task is cancelled."""
        while True:
            now = self._clock()
            for name in expire_silent_peers(self._state, now):
                log_event(Event.INSTANCE_LOST, name)
            self.send(now)
            jitter = 1 + _SEND_JITTER * (self._random.random() - 0.5)
            await asyncio.sleep(_SEND_INTERVAL_S * jitter)

    def update_store_report(self, report: StoreReport) -> None:
        """Set what the next heartbeats report about the store.

        A change that other daemons must soon know is sent to them at once.
        """
        is_urgent = is_change_urgent(
            self._own_heartbeat.changes, report.changes
        )
        self._configuration_confirmed_at = report.confirmed_at
        self._own_heartbeat = evolve(
            self._own_heartbeat,
            changes=report.changes,
            version=report.version,
            store_era=report.era,
            store_available_for=report.store_available_for,
        )
        if is_urgent:
            self._next_send_at.clear()
            self.send(self._clock())

    def announce(
        self, *, is_ready: bool, is_standby: bool, rate: float = 0
    ) -> None:
        """Announce a change of readiness to all other daemons at once.

        Args:
            is_ready: Whether this daemon accepts callers.
            is_standby: Whether it accepts none because others do.
            rate: Requests a second that it receives; sent with the next
                heartbeat.
        """
        heartbeat = evolve(self._own_heartbeat, rate=float(rate))
        self._own_heartbeat = heartbeat
        if (is_ready, is_standby) != (heartbeat.is_ready, heartbeat.is_standby):
            self._own_heartbeat = evolve(
                heartbeat, is_ready=is_ready, is_standby=is_standby
            )
            self._next_send_at.clear()
            self.send(self._clock())
            self._notify_remote_entries()

    def _notify_remote_entries(self) -> None:
        """Announce the change to entries that no longer get heartbeats."""
        datagram = encode_message(
            evolve(
                self._own_heartbeat, next_heartbeat_in=CROSS_ZONE_INTERVAL_NS
            )
        )
        for peer in self._state.peers.values():
            heartbeat = peer.heartbeat
            if (
                heartbeat.is_standby
                or heartbeat.zone == self._own_heartbeat.zone
            ):
                continue
            if (
                heartbeat_interval(
                    self._state, self._own_heartbeat, heartbeat.name
                )
                is None
            ):
                self._port.send_encoded(heartbeat.ip, datagram)

    def send(self, now: Nanoseconds) -> None:
        """Send a heartbeat to all known instances for which one is due."""
        targets = self._state.heartbeat_targets
        advertised_ips = tuple(targets)
        max_known_ips = _MAX_KNOWN_IPS
        if is_large_fleet(self._state):
            max_known_ips = _MAX_KNOWN_IPS_IN_LARGE_FLEET
        if len(advertised_ips) > max_known_ips:
            advertised_ips = tuple(
                self._random.sample(advertised_ips, max_known_ips)
            )
        self._own_heartbeat = evolve(
            self._own_heartbeat,
            sequence=self._own_heartbeat.sequence + 1,
            known_ips=advertised_ips,
            zone_size=zone_size(self._state, self._own_heartbeat.zone),
            configuration_age=(
                INITIAL_AGE_NS
                if self._configuration_confirmed_at is None
                else now - self._configuration_confirmed_at
            ),
        )
        datagrams: dict[Nanoseconds, bytes] = {}
        for ip, name in tuple(targets.items()):
            if self._next_send_at.get(ip, 0) > now + _MAX_EARLY_NS:
                continue
            interval = heartbeat_interval(
                self._state, self._own_heartbeat, name
            )
            if interval is None:
                continue
            if interval not in datagrams:
                heartbeat = evolve(
                    self._own_heartbeat, next_heartbeat_in=interval
                )
                datagrams[interval] = encode_message(heartbeat)
            self._next_send_at[ip] = now + interval
            self._port.send_encoded(ip, datagrams[interval])

    def _receive_heartbeat(self, heartbeat: PresenceHeartbeat) -> None:
        if heartbeat.name == self._own_heartbeat.name:
            return
        is_new = record_heartbeat(self._state, heartbeat, self._clock())
        if is_new:
            log_event(Event.INSTANCE_FOUND, heartbeat.name, zone=heartbeat.zone)
            interval = heartbeat_interval(
                self._state, self._own_heartbeat, heartbeat.name
            )
            if interval is not None:
                reply = evolve(self._own_heartbeat, next_heartbeat_in=interval)
                self._port.send(heartbeat.ip, reply)
        if self._state.peers[heartbeat.name].heartbeat is heartbeat:
            self._relay_to_zone(heartbeat)

    def _relay_to_zone(self, heartbeat: PresenceHeartbeat) -> None:
        """Relay the heartbeat of an entry of another zone within this zone.

        Only a heartbeat that was not known before is relayed. Two daemons may
        both consider themselves the relay, and would otherwise send it to each
        other without end.
        """
        own_heartbeat = self._own_heartbeat
        if heartbeat.zone == own_heartbeat.zone or not is_large_fleet(
            self._state
        ):
            return
        if not is_relay(self._state, own_heartbeat):
            return
        datagram = encode_message(heartbeat)
        for zone_peer in zone_heartbeats(self._state, own_heartbeat.zone):
            self._port.send_encoded(zone_peer.ip, datagram)
