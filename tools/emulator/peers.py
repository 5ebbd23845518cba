"""Messages between simulated daemons about the limits of servers."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define

from geraniumshelf_core.placement.state import PlacementState
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.messages import decode_message
from geraniumshelf_daemon.edge.permits import ServerPermits
from geraniumshelf_daemon.edge.server_limits import ServerLimits

if TYPE_CHECKING:
    from tools.emulator.simulation import Simulation


@define(eq=False)
class LimitPeer:
    """The parts of a daemon that exchange limits and permits.

    Attributes:
        name: Name of the daemon, also its address.
        zone: Index of its zone.
        placement: Backend servers as the daemon sees them.
        presence: The other daemons.
        port: Sends and receives messages.
        limits: Knows the limits of the servers.
        permits: Obtains and grants permits.
    """

    name: str
    zone: int
    placement: PlacementState
    presence: PresenceState
    port: SimulatedPort
    limits: ServerLimits
    permits: ServerPermits


class SimulatedPort(DatagramPort):
    """Delivers messages to other simulated daemons after a network delay."""

    def __init__(self, deliver: Callable[[str, bytes], None]) -> None:
        super().__init__(0)
        self._deliver = deliver

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        """Send a message to the daemon with an address."""
        self._deliver(ip, datagram)

    def receive(self, datagram: bytes) -> None:
        """Handle a message of another daemon."""
        message: Any = decode_message(datagram)
        self._handlers[type(message)](message)


def make_peers(simulation: Simulation) -> list[LimitPeer]:
    """Return the peers of all daemons, which know each other."""
    heartbeats = {
        f'd{index}': _make_heartbeat(f'd{index}', daemon.state.place.zone)
        for index, daemon in enumerate(simulation.daemons)
    }
    peers: dict[str, LimitPeer] = {}
    for (name, heartbeat), daemon in zip(
        heartbeats.items(), simulation.daemons, strict=True
    ):
        presence = PresenceState(
            name,
            peers={
                other: PeerPresence(other_heartbeat, 0)
                for other, other_heartbeat in heartbeats.items()
                if other != name
            },
        )
        peers[name] = _make_peer(
            simulation, peers, heartbeat, daemon.zone, daemon.state, presence
        )
    return list(peers.values())


def _make_heartbeat(name: str, zone: str) -> PresenceHeartbeat:
    return PresenceHeartbeat(name, 1, 1, zone, name, name, is_ready=True)


def _make_peer(
    simulation: Simulation,
    peers: dict[str, LimitPeer],
    heartbeat: PresenceHeartbeat,
    zone: int,
    placement: PlacementState,
    presence: PresenceState,
) -> LimitPeer:
    def deliver(name: str, datagram: bytes) -> None:
        target = peers[name]
        simulation.schedule(
            simulation.one_way_delay_s(zone, target.zone),
            lambda: target.port.receive(datagram),
        )

    def read_clock() -> Nanoseconds:
        return simulation.now_ns()

    def own_heartbeat() -> PresenceHeartbeat:
        return heartbeat

    port = SimulatedPort(deliver)
    owners = LimitOwners(placement, presence, own_heartbeat, placement.regions)
    limits = ServerLimits(
        placement, presence, owners, port, read_clock, Random(zone)
    )
    permits = ServerPermits(
        placement, presence, owners, limits, port, own_heartbeat, read_clock
    )
    return LimitPeer(
        heartbeat.name, zone, placement, presence, port, limits, permits
    )
