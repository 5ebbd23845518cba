"""Functions that read what a daemon knows of the members."""

from typing import Final

from geraniumshelf_core.membership.state import (
    CONTACT_STEP,
    SILENCE_LIMIT,
    HeardPeer,
    Member,
    MembershipState,
)
from geraniumshelf_core.membership.topology import (
    is_full_mesh,
    linked_instances,
    zone_order,
)
from geraniumshelf_core.messages.membership import MemberList
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

WATCHERS_PER_ZONE: Final = 2


def live_members(
    state: MembershipState, revision: int, now: Nanoseconds
) -> tuple[Member, ...]:
    """Return this daemon and the peers heard of late, by name.

    Args:
        state: What is known.
        revision: Own configuration revision in force.
        now: Time.
    """
    status = state.status
    members = [
        Member(
            state.own,
            status.slot,
            status.window,
            revision,
            status.is_leaving or _is_listed_leaving(state, state.own.instance),
        )
    ]
    members.extend(
        _member(state, peer)
        for peer in state.heard.values()
        if _is_live(peer, now)
    )
    return tuple(sorted(members, key=lambda member: member.hello.instance))


def slot_holders(members: tuple[Member, ...]) -> dict[str, str]:
    """Return the instance that holds each live slot.

    If two members tell the same slot during a takeover, all daemons take the
    first by name.
    """
    holders: dict[str, str] = {}
    for member in members:
        if member.slot:
            holders.setdefault(member.slot, member.hello.instance)
    return holders


def known_zones(state: MembershipState, now: Nanoseconds) -> dict[str, str]:
    """Return the zone of each listed or live instance."""
    zones = {name: listed.zone for name, listed in state.listed.items()}
    for name, peer in state.heard.items():
        if _is_live(peer, now):
            zones[name] = peer.hello.zone
    zones[state.own.instance] = state.own.zone
    return zones


def link_targets(state: MembershipState, now: Nanoseconds) -> dict[str, str]:
    """Return the peer addresses of the instances to link to, by name."""
    zones = known_zones(state, now)
    return {
        name: _address(state, name)
        for name in linked_instances(state.own.instance, zones)
    }


def zone_watchers(state: MembershipState, now: Nanoseconds) -> tuple[str, ...]:
    """Return the two best-ranked live daemons of the own zone.

    Listed daemons that this one does not link to are presumed live. So are
    all while the own links come up after the start; otherwise each daemon of
    a starting zone would call the platform as a watcher.
    """
    zones = known_zones(state, now)
    targets = linked_instances(state.own.instance, zones)
    if _is_starting(state, now):
        targets = frozenset(state.heard)
    candidates = [
        name
        for name in zone_order(state.own.zone, zones)
        if _may_watch(state, name, name in targets, now)
    ]
    return tuple(candidates[:WATCHERS_PER_ZONE])


def peers_behind(
    state: MembershipState, revision: int, now: Nanoseconds
) -> tuple[str, ...]:
    """Return the live peers to push a revision to.

    In a full mesh a watcher pushes to its zone and nobody else pushes. In a
    tree each daemon pushes along all its links.
    """
    is_mesh = is_full_mesh(known_zones(state, now))
    own = state.own.instance
    if is_mesh and own not in zone_watchers(state, now):
        return ()
    return tuple(
        name
        for name, peer in state.heard.items()
        if _is_behind(peer, revision)
        and not (is_mesh and peer.hello.zone != state.own.zone)
    )


def is_cut_off(state: MembershipState, now: Nanoseconds) -> bool:
    """Tell whether no withdrawal can reach the zone."""
    if state.contact_at is None:
        return True
    return now - state.contact_at > SILENCE_LIMIT


def contact_age_ms(state: MembershipState, now: Nanoseconds) -> int:
    """Return the time since the last contact, rounded up, -1 for never."""
    if state.contact_at is None:
        return -1
    return -((state.contact_at - now) // MILLISECOND_NS)


def is_contact_news(state: MembershipState, now: Nanoseconds) -> bool:
    """Tell whether peers should hear of the last contact at once.

    In a tree, waiting for the next heartbeat at each level would add up to
    more than the time after which a zone counts as cut off.
    """
    if state.contact_at is None or is_full_mesh(known_zones(state, now)):
        return False
    if state.told_contact_at is None:
        return True
    return state.contact_at - state.told_contact_at >= CONTACT_STEP


def member_list(state: MembershipState, now: Nanoseconds) -> MemberList | None:
    """Return the newest instance list for peers, ``None`` without one."""
    if state.listed_at is None:
        return None
    age_ms = -((state.listed_at - now) // MILLISECOND_NS)
    return MemberList(
        age_ms,
        tuple(
            (one.instance, one.zone, one.peer_address, one.is_leaving)
            for one in state.listed.values()
        ),
    )


def _member(state: MembershipState, peer: HeardPeer) -> Member:
    is_leaving = _is_listed_leaving(state, peer.hello.instance)
    beat = peer.heartbeat
    if beat is None:
        return Member(peer.hello, '', 0, 0, is_leaving)
    return Member(
        peer.hello,
        beat.slot,
        beat.window,
        beat.revision,
        is_leaving or beat.is_leaving,
    )


def _is_behind(peer: HeardPeer, revision: int) -> bool:
    return peer.heartbeat is None or peer.heartbeat.revision < revision


def _is_live(peer: HeardPeer, now: Nanoseconds) -> bool:
    return now - peer.heard_at <= SILENCE_LIMIT


def _is_listed_leaving(state: MembershipState, name: str) -> bool:
    listed = state.listed.get(name)
    return listed is not None and listed.is_leaving


def _is_starting(state: MembershipState, now: Nanoseconds) -> bool:
    if state.started_at is None:
        return False
    return now - state.started_at <= SILENCE_LIMIT


def _address(state: MembershipState, name: str) -> str:
    peer = state.heard.get(name)
    if peer is None:
        return state.listed[name].peer_address
    return peer.hello.peer_address


def _may_watch(
    state: MembershipState, name: str, is_linked: bool, now: Nanoseconds
) -> bool:
    if name == state.own.instance:
        return not state.status.is_leaving
    peer = state.heard.get(name)
    if peer is None or not _is_live(peer, now):
        return not is_linked and not _is_listed_leaving(state, name)
    return peer.heartbeat is None or not peer.heartbeat.is_leaving
