"""Changes to the presence state of the other daemons."""

from typing import Final

from geraniumshelf_core.presence.queries import heartbeat_timeout
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
    RequestRate,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Longer than a burst of one caller, so that a burst doesn't change which
# daemons are entries.
_RATE_WINDOW_S: Final = 5
_RATE_WINDOW_NS: Final[Nanoseconds] = _RATE_WINDOW_S * SECOND_NS


def record_heartbeat(
    state: PresenceState, heartbeat: PresenceHeartbeat, now: Nanoseconds
) -> bool:
    """Record a heartbeat; return whether its sender was unknown.

    A heartbeat that arrives after a newer one of the same run is ignored.
    """
    known = state.peers.get(heartbeat.name)
    if known is not None and _is_stale(heartbeat, known.heartbeat):
        return False
    busy_since = None
    if not (heartbeat.is_ready or heartbeat.is_standby):
        busy_since = known.busy_since if known else None
        busy_since = now if busy_since is None else busy_since
    state.peers[heartbeat.name] = PeerPresence(heartbeat, now, busy_since)
    state.heartbeat_targets[heartbeat.ip] = heartbeat.name
    state.registered[heartbeat.name] = heartbeat.registered_instance
    known_size = state.zone_sizes.get(heartbeat.zone, 0)
    state.zone_sizes[heartbeat.zone] = max(known_size, heartbeat.zone_size)
    for ip in heartbeat.known_ips:
        add_target(state, ip)
    return known is None


def register_instance(
    state: PresenceState, name: str, instance: RegisteredInstance, ip: str
) -> None:
    """Record an entry of the registry of instances."""
    state.registered[name] = instance
    if ip != state.own_ip:
        state.heartbeat_targets[ip] = name


def add_target(state: PresenceState, ip: str) -> None:
    """Add an address to which heartbeats are sent."""
    if ip != state.own_ip:
        state.heartbeat_targets.setdefault(ip, '')


def expire_silent_peers(
    state: PresenceState, now: Nanoseconds
) -> tuple[str, ...]:
    """Remove the daemons whose heartbeats are overdue.

    Returns:
        Their names. Heartbeats are still sent to them, as they may come back.
    """
    silent = tuple(
        name
        for name, peer in state.peers.items()
        if now - peer.last_heard_at > heartbeat_timeout(peer.heartbeat)
    )
    for name in silent:
        del state.peers[name]
    return silent


def update_request_rate(
    rate: RequestRate, request_count: int, now: Nanoseconds
) -> None:
    """Update the smoothed rate from the number of requests since the start."""
    elapsed = now - rate.measured_at
    if elapsed <= 0:
        return
    recent = (request_count - rate.request_count) * SECOND_NS / elapsed
    rate.per_s += min(1, elapsed / _RATE_WINDOW_NS) * (recent - rate.per_s)
    rate.request_count = request_count
    rate.measured_at = now


def _is_stale(heartbeat: PresenceHeartbeat, newest: PresenceHeartbeat) -> bool:
    return (
        heartbeat.incarnation == newest.incarnation
        and heartbeat.sequence <= newest.sequence
    )
