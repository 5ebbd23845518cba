"""Decides whether a daemon takes callers or stands by.

Answers a fleet that is far larger than its callers need: calls to the store,
messages and limits that are divided by all daemons would grow with it. The
first daemons of each zone take the callers, the next one follows when one of
them is lost.
"""

from typing import Final

from attrs import define

from geraniumshelf_core.presence.queries import (
    ENTRY_CORES,
    LEAST_ENTRIES,
    rank,
    wanted_cores,
    zone_heartbeats,
)
from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# A new instance has heard the others of its zone, or read their entries,
# within this time: four beats.
PEER_DISCOVERY_MS: Final = 2000
_SETTLE_NS: Final[Nanoseconds] = PEER_DISCOVERY_MS * MILLISECOND_NS
# A daemon that loads is ready within this time unless the store fails it.
_LOADING_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Longer than callers keep an answer of the directory, some of which take three
# times the time that they are told.
_UNNEEDED_S: Final = 30
_UNNEEDED_NS: Final[Nanoseconds] = _UNNEEDED_S * SECOND_NS


@define
class EntryRole:
    """Whether this daemon takes callers.

    Attributes:
        started_at: Time of its start.
        was_registered: Whether an earlier run of it stored its entry;
            ``None`` while the registry is unknown.
        is_entry: Whether it takes callers or prepares to; ``None`` before the
            first decision.
        needed_at: Last time at which it was needed.
    """

    started_at: Nanoseconds
    was_registered: bool | None = None
    is_entry: bool | None = None
    needed_at: Nanoseconds = 0


def decide_role(
    duty: EntryRole,
    presence: PresenceState,
    own: PresenceHeartbeat,
    asked_at: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Decide anew whether the daemon takes callers.

    Args:
        duty: Its duty.
        presence: What is known of the other daemons.
        own: Its newest beat.
        asked_at: Time of the last request of a caller.
        now: Current time.
    """
    is_settling = now - duty.started_at < _SETTLE_NS
    if is_settling and not _may_decide(duty, own):
        return
    is_asked = asked_at > 0 and now - asked_at < _UNNEEDED_NS
    if is_asked or _is_short(presence, own, now, is_settling=is_settling):
        duty.needed_at = now
        duty.is_entry = True
    elif duty.is_entry is None or now - duty.needed_at >= _UNNEEDED_NS:
        duty.is_entry = False


def _may_decide(duty: EntryRole, own: PresenceHeartbeat) -> bool:
    # The entries of a first start come one after the other.
    is_large = own.cores * LEAST_ENTRIES >= ENTRY_CORES
    return is_large or duty.was_registered is True


def _is_short(
    presence: PresenceState,
    own: PresenceHeartbeat,
    now: Nanoseconds,
    *,
    is_settling: bool,
) -> bool:
    """Return whether the daemons before this one are too few."""
    own_rank = rank(own.name, own.registered_instance)
    before = [
        member.cores
        for name, member in presence.registered.items()
        if member.zone == own.zone
        and rank(name, member) < own_rank
        and _is_able(presence.peers.get(name), now, is_unheard=is_settling)
    ]
    wanted = wanted_cores((own, *zone_heartbeats(presence, own.zone)))
    return len(before) < LEAST_ENTRIES or sum(before) < wanted


def _is_able(
    neighbour: PeerPresence | None, now: Nanoseconds, *, is_unheard: bool
) -> bool:
    """Return whether a daemon takes callers, or would.

    Args:
        neighbour: The daemon, ``None`` if it is not heard.
        now: Current time.
        is_unheard: What is taken of a daemon that is not heard.
    """
    if neighbour is None:
        return is_unheard
    busy_since = neighbour.busy_since
    return busy_since is None or now - busy_since < _LOADING_NS
