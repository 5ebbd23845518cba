"""Functions that update the membership state of a daemon."""

from collections.abc import Collection, Iterable

from geraniumshelf_core.membership.contact import contact_age_ms
from geraniumshelf_core.membership.state import (
    SILENCE_LIMIT_NS,
    ListedMember,
    MembershipState,
    PeerRecord,
)
from geraniumshelf_core.messages.membership import Heartbeat, Hello, MemberList
from geraniumshelf_core.roster.commands import withdraw
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds


def record_link(state: MembershipState, hello: Hello, now: Nanoseconds) -> None:
    """Record the introduction that a peer sent on a new link.

    It replaces the record of a former incarnation and of any other instance
    at the same peer address.
    """
    known = state.known_peers.get(hello.instance)
    if known is not None and known.hello == hello:
        known.last_heard_at = now
    else:
        for name in _same_address(state, hello):
            replaced = state.known_peers.pop(name)
            if name != hello.instance:
                incarnation = replaced.hello.incarnation
                withdraw(state.roster, name, incarnation, now)
        state.known_peers[hello.instance] = PeerRecord(hello, None, now)
    if hello.zone != state.own.zone:
        record_contact(state, now)


def record_heartbeat(
    state: MembershipState,
    instance: str,
    heartbeat: Heartbeat,
    now: Nanoseconds,
) -> bool:
    """Record a heartbeat; return whether it was accepted.

    A heartbeat of an unknown peer or incarnation, or one that is not newer
    than the last one, is ignored.
    """
    peer = state.known_peers.get(instance)
    if peer is None or peer.hello.incarnation != heartbeat.incarnation:
        return False
    last = peer.heartbeat
    if last is not None and last.sequence >= heartbeat.sequence:
        return False
    peer.heartbeat = heartbeat
    peer.last_heard_at = now
    if peer.hello.zone != state.own.zone:
        record_contact(state, now)
    elif heartbeat.platform_age_ms >= 0:
        age = heartbeat.platform_age_ms * MILLISECOND_NS
        record_contact(state, now - age)
    return True


def record_contact(state: MembershipState, at: Nanoseconds) -> None:
    """Record a contact with the platform or another zone."""
    if state.contact_at is None or state.contact_at < at:
        state.contact_at = at


def replace_instance_list(
    state: MembershipState,
    members: Iterable[ListedMember],
    listed_at: Nanoseconds,
) -> bool:
    """Replace the instance list unless the known one is at least as new.

    Returns:
        Whether the list differs from the one before.
    """
    if state.listed_at is not None and state.listed_at >= listed_at:
        return False
    state.listed_at = listed_at
    listed = {member.instance: member for member in members}
    is_changed = listed != state.listed
    state.listed = listed
    return is_changed


def record_member_list(
    state: MembershipState, message: MemberList, now: Nanoseconds
) -> bool:
    """Record the instance list of a peer; return whether it changed anything.

    A malformed list is ignored.
    """
    members = [
        ListedMember(*row) for row in message.members if _is_member_row(row)
    ]
    if len(members) < len(message.members) or message.age_ms < 0:
        return False
    return replace_instance_list(
        state, members, now - message.age_ms * MILLISECOND_NS
    )


def expire_silent_peers(
    state: MembershipState, linked: Collection[str], now: Nanoseconds
) -> None:
    """Remove peers that have been silent for longer than the limit.

    Linked peers are kept: after a pause of this daemon their heartbeats have
    not been read yet, and a heartbeat of an unknown peer would be ignored.
    """
    state.known_peers = {
        name: peer
        for name, peer in state.known_peers.items()
        if name in linked or now - peer.last_heard_at <= SILENCE_LIMIT_NS
    }


def next_heartbeat(
    state: MembershipState, revision: int, now: Nanoseconds
) -> Heartbeat:
    """Return the next heartbeat to send and record what it announces."""
    status = state.status
    status.sequence += 1
    state.announced_contact_at = state.contact_at
    return Heartbeat(
        state.own.incarnation,
        status.sequence,
        revision,
        status.slot,
        status.window,
        status.is_leaving,
        contact_age_ms(state, now),
    )


def _same_address(state: MembershipState, hello: Hello) -> list[str]:
    return [
        name
        for name, peer in state.known_peers.items()
        if peer.hello.peer_address == hello.peer_address
    ]


def _is_member_row(row: object) -> bool:
    if not isinstance(row, tuple):
        return False
    return tuple(type(item) for item in row) == (str, str, str, bool)
