"""Decides whether a daemon is an entry instance or a standby.

A fleet may be far larger than its callers need. If all of its daemons served
callers, the calls to the store, the messages and the number by which limits
are divided would grow with the fleet. So the highest-ranked daemons of each
zone serve the callers, and the next one replaces an entry that is lost.
"""

from typing import Final

from attrs import define

from geraniumshelf_core.presence.queries import (
    MIN_ENTRIES,
    MIN_ENTRY_CORES,
    rank_key,
    required_cores,
    zone_heartbeats,
)
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Within this time, four heartbeats, a new instance has received heartbeats of
# the others of its zone or read their entries.
PEER_DISCOVERY_MS: Final = 2000
_PEER_DISCOVERY_NS: Final[Nanoseconds] = PEER_DISCOVERY_MS * MILLISECOND_NS
# A loading daemon is ready within this time unless the store doesn't respond.
_MAX_LOADING_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Longer than callers cache a response of the directory; some of them cache it
# for three times the stated time.
_ENTRY_RETENTION_S: Final = 30
_ENTRY_RETENTION_NS: Final[Nanoseconds] = _ENTRY_RETENTION_S * SECOND_NS


@define
class EntryRole:
    """Whether this daemon is an entry instance.

    Attributes:
        started_at: Time of its start.
        was_registered: Whether an earlier run of this instance has stored its
            entry; ``None`` until the registry has been read.
        is_entry: Whether it serves callers or prepares to; ``None`` before the
            first decision.
        last_needed_at: Last time at which it was needed as an entry.
    """

    started_at: Nanoseconds
    was_registered: bool | None = None
    is_entry: bool | None = None
    last_needed_at: Nanoseconds = 0


def decide_role(
    role: EntryRole,
    presence: PresenceState,
    own: PresenceHeartbeat,
    requested_at: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Update whether the daemon is an entry instance.

    Args:
        role: Role of this daemon.
        presence: State of the other daemons.
        own: Newest heartbeat of this daemon.
        requested_at: Time of the last request of a caller, 0 for none.
        now: Current time.
    """
    is_discovering = now - role.started_at < _PEER_DISCOVERY_NS
    if is_discovering and not _can_decide_early(role, own):
        return
    is_requested = requested_at > 0 and now - requested_at < _ENTRY_RETENTION_NS
    if is_requested or _is_entry_needed(
        presence, own, now, is_discovering=is_discovering
    ):
        role.last_needed_at = now
        role.is_entry = True
    elif (
        role.is_entry is None
        or now - role.last_needed_at >= _ENTRY_RETENTION_NS
    ):
        role.is_entry = False


def _can_decide_early(role: EntryRole, own: PresenceHeartbeat) -> bool:
    # During the first start of a fleet the daemons appear one after the other,
    # so most of them must wait until they know the others.
    is_large = own.cores * MIN_ENTRIES >= MIN_ENTRY_CORES
    return is_large or role.was_registered is True


def _is_entry_needed(
    presence: PresenceState,
    own: PresenceHeartbeat,
    now: Nanoseconds,
    *,
    is_discovering: bool,
) -> bool:
    """Return whether the higher-ranked daemons don't suffice as entries."""
    own_rank = rank_key(own.name, own.registered_instance)
    higher_ranked = [
        instance.cores
        for name, instance in presence.registered.items()
        if instance.zone == own.zone
        and rank_key(name, instance) < own_rank
        and _can_serve(
            presence.peers.get(name), now, is_assumed_able=is_discovering
        )
    ]
    required = required_cores((own, *zone_heartbeats(presence, own.zone)))
    return len(higher_ranked) < MIN_ENTRIES or sum(higher_ranked) < required


def _can_serve(
    peer: PeerPresence | None, now: Nanoseconds, *, is_assumed_able: bool
) -> bool:
    """Return whether a daemon serves callers or could do so.

    Args:
        peer: The daemon, ``None`` if it sends no heartbeats.
        now: Current time.
        is_assumed_able: The result for a daemon that sends no heartbeats.
    """
    if peer is None:
        return is_assumed_able
    busy_since = peer.busy_since
    return busy_since is None or now - busy_since < _MAX_LOADING_NS
