"""Changes to what a daemon knows of the others."""

from typing import Final

from geraniumshelf_core.presence.queries import silence_limit
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
    RequestRate,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Longer than a burst of one caller, so that entries don't change with it.
_RATE_WINDOW_S: Final = 5
_RATE_WINDOW_NS: Final[Nanoseconds] = _RATE_WINDOW_S * SECOND_NS


def record_heartbeat(
    state: PresenceState, heartbeat: PresenceHeartbeat, now: Nanoseconds
) -> bool:
    """Take over a beat; return whether its sender was unknown.

    A beat that was overtaken by a newer one of the same run changes nothing.
    """
    known = state.peers.get(heartbeat.name)
    if known is not None and _is_overtaken(heartbeat, known.heartbeat):
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
    state: PresenceState, name: str, member: RegisteredInstance, ip: str
) -> None:
    """Take over an entry of the registry."""
    state.registered[name] = member
    if ip != state.own_ip:
        state.heartbeat_targets[ip] = name


def add_target(state: PresenceState, ip: str) -> None:
    """Send beats to an address, too."""
    if ip != state.own_ip:
        state.heartbeat_targets.setdefault(ip, '')


def expire_silent_peers(
    state: PresenceState, now: Nanoseconds
) -> tuple[str, ...]:
    """Forget the daemons whose beats have been missing for too long.

    Returns:
        Their names. Beats are still sent to them, as they may come back.
    """
    silent = tuple(
        name
        for name, neighbour in state.peers.items()
        if now - neighbour.last_heard_at > silence_limit(neighbour.heartbeat)
    )
    for name in silent:
        del state.peers[name]
    return silent


def update_request_rate(
    rate: RequestRate, counted: int, now: Nanoseconds
) -> None:
    """Take over the number of requests since the start."""
    age = now - rate.measured_at
    if age <= 0:
        return
    recent = (counted - rate.counted) * SECOND_NS / age
    rate.per_s += min(1, age / _RATE_WINDOW_NS) * (recent - rate.per_s)
    rate.counted = counted
    rate.measured_at = now


def _is_overtaken(
    heartbeat: PresenceHeartbeat, newest: PresenceHeartbeat
) -> bool:
    return (
        heartbeat.incarnation == newest.incarnation
        and heartbeat.sequence <= newest.sequence
    )
