"""Functions that read the membership state of a daemon."""

from typing import Final

from geraniumshelf_core.membership.state import (
    SILENCE_LIMIT_NS,
    Member,
    MembershipState,
    PeerRecord,
)
from geraniumshelf_core.membership.topology import (
    is_full_mesh,
    linked_instances,
    rank_zone_instances,
)
from geraniumshelf_core.messages.membership import MemberList
from geraniumshelf_core.roster.queries import (
    live_entries,
    lost_zones,
    request_id_window,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

WATCHERS_PER_ZONE: Final = 2


def live_members(
    state: MembershipState, revision: int, now: Nanoseconds
) -> tuple[Member, ...]:
    """Return this daemon and all live members, sorted by name.

    Members that are not linked are taken from the table of members.

    Args:
        state: Membership state of this daemon.
        revision: Own configuration revision in force.
        now: Current time.
    """
    members = [
        *linked_members(state, revision, now),
        *roster_only_members(state, now),
    ]
    return tuple(sorted(members, key=lambda member: member.hello.instance))


def linked_members(
    state: MembershipState, revision: int, now: Nanoseconds
) -> tuple[Member, ...]:
    """Return this daemon and the peers last heard within the silence limit."""
    status = state.status
    own = Member(
        state.own,
        status.slot,
        status.window,
        revision,
        status.is_leaving or _is_listed_leaving(state, state.own.instance),
    )
    peers = (
        _build_member(state, peer)
        for peer in state.known_peers.values()
        if _is_live(peer, now)
    )
    return (own, *peers)


def slot_holders(members: tuple[Member, ...]) -> dict[str, str]:
    """Return the instance that holds each slot of a live member.

    If two members report the same slot during a takeover, all daemons choose
    the first by name.
    """
    holders: dict[str, str] = {}
    for member in members:
        if member.slot:
            holders.setdefault(member.slot, member.hello.instance)
    return holders


def zones_by_instance(
    state: MembershipState, now: Nanoseconds
) -> dict[str, str]:
    """Return the zone of each listed or live instance.

    This includes instances that the platform does not list yet and that are
    known only through the table of members. The result is cached until one of
    its sources changes, because each heartbeat needs it.
    """
    key = (state.roster.version, state.listed_at, _live_names(state, now))
    if state.zones_key != key:
        state.zones_key = key
        state.zones = _collect_zones(state, now)
        state.linked_names = None
        state.zone_ranking = None
    return state.zones


def link_targets(state: MembershipState, now: Nanoseconds) -> dict[str, str]:
    """Return the peer addresses of the instances to link to, by name."""
    return {
        name: address
        for name in _linked_names(state, now)
        if (address := peer_address(state, name)) is not None
    }


def zone_watchers(state: MembershipState, now: Nanoseconds) -> tuple[str, ...]:
    """Return the two best-ranked live daemons of the own zone.

    Failed watchers come last. Listed daemons that this one does not link to
    are presumed live. While this daemon establishes its links after the
    start, so are all listed daemons that it has not been linked to yet;
    otherwise each daemon of a starting zone would call the platform as a
    watcher.
    """
    linked = _linked_names(state, now)
    if _is_starting(state, now):
        linked = frozenset(state.known_peers)
    candidates = [
        name
        for name in _zone_ranking(state, now)
        if _is_watcher_candidate(state, name, name in linked, now)
    ]
    candidates.sort(key=lambda name: is_failed_watcher(state, name))
    return tuple(candidates[:WATCHERS_PER_ZONE])


def failed_watchers(
    state: MembershipState, now: Nanoseconds
) -> tuple[str, ...]:
    """Return the failed watchers of the own zone in rank order."""
    return tuple(
        name
        for name in _zone_ranking(state, now)
        if is_failed_watcher(state, name)
    )


def is_failed_watcher(state: MembershipState, name: str) -> bool:
    """Return whether a daemon reports that it cannot reach the platform."""
    if name == state.own.instance:
        return state.status.is_failed_watcher
    record = state.roster.records.get(name)
    if record is None or record.entry.is_withdrawn:
        return False
    return record.entry.is_failed_watcher


def roster_only_instances(
    state: MembershipState, now: Nanoseconds
) -> tuple[str, ...]:
    """Return the live instances known only through the table of members."""
    zones = zones_by_instance(state, now)
    if is_full_mesh(zones):
        return ()
    lost = lost_zones(state.roster, state.own.zone, zones)
    return tuple(
        name
        for name, entry in live_entries(state.roster).items()
        if entry.hello.zone not in lost
        and name not in state.known_peers
        and name != state.own.instance
    )


def roster_only_members(
    state: MembershipState, now: Nanoseconds
) -> tuple[Member, ...]:
    """Return the live members known only through the table of members."""
    records = state.roster.records
    return tuple(
        Member(
            records[name].entry.hello,
            records[name].entry.slot,
            request_id_window(records[name], now),
            records[name].entry.revision,
            records[name].entry.is_leaving or _is_listed_leaving(state, name),
        )
        for name in roster_only_instances(state, now)
    )


def peer_address(state: MembershipState, name: str) -> str | None:
    """Return the peer address of an instance, ``None`` if it is not known."""
    peer = state.known_peers.get(name)
    if peer is not None:
        return peer.hello.peer_address
    record = state.roster.records.get(name)
    if record is not None and not record.entry.is_withdrawn:
        return record.entry.hello.peer_address
    listed = state.listed.get(name)
    return None if listed is None else listed.peer_address


def outdated_peers(
    state: MembershipState, revision: int, now: Nanoseconds
) -> tuple[str, ...]:
    """Return the live peers to push a revision to.

    In a full mesh only watchers push, each to its own zone. In a tree each
    daemon pushes along all its links.
    """
    is_mesh = is_full_mesh(zones_by_instance(state, now))
    own = state.own.instance
    if is_mesh and own not in zone_watchers(state, now):
        return ()
    return tuple(
        name
        for name, peer in state.known_peers.items()
        if _is_outdated(peer, revision)
        and not (is_mesh and peer.hello.zone != state.own.zone)
    )


def member_list(state: MembershipState, now: Nanoseconds) -> MemberList | None:
    """Return the known instance list as a message, ``None`` without one."""
    if state.listed_at is None:
        return None
    age_ms = -((state.listed_at - now) // MILLISECOND_NS)
    return MemberList(
        age_ms,
        tuple(
            (item.instance, item.zone, item.peer_address, item.is_leaving)
            for item in state.listed.values()
        ),
    )


def _build_member(state: MembershipState, peer: PeerRecord) -> Member:
    is_leaving = _is_listed_leaving(state, peer.hello.instance)
    heartbeat = peer.heartbeat
    if heartbeat is None:
        return Member(peer.hello, '', 0, 0, is_leaving)
    return Member(
        peer.hello,
        heartbeat.slot,
        heartbeat.window,
        heartbeat.revision,
        is_leaving or heartbeat.is_leaving,
    )


def _linked_names(state: MembershipState, now: Nanoseconds) -> frozenset[str]:
    zones = zones_by_instance(state, now)
    if state.linked_names is None:
        state.linked_names = linked_instances(state.own.instance, zones)
    return state.linked_names


def _zone_ranking(state: MembershipState, now: Nanoseconds) -> tuple[str, ...]:
    zones = zones_by_instance(state, now)
    if state.zone_ranking is None:
        state.zone_ranking = rank_zone_instances(state.own.zone, zones)
    return state.zone_ranking


def _live_names(state: MembershipState, now: Nanoseconds) -> frozenset[str]:
    return frozenset(
        name for name, peer in state.known_peers.items() if _is_live(peer, now)
    )


def _collect_zones(state: MembershipState, now: Nanoseconds) -> dict[str, str]:
    zones = {name: listed.zone for name, listed in state.listed.items()}
    for name, entry in live_entries(state.roster).items():
        zones[name] = entry.hello.zone
    for name in _live_names(state, now):
        zones[name] = state.known_peers[name].hello.zone
    zones[state.own.instance] = state.own.zone
    return zones


def _is_outdated(peer: PeerRecord, revision: int) -> bool:
    return peer.heartbeat is None or peer.heartbeat.revision < revision


def _is_live(peer: PeerRecord, now: Nanoseconds) -> bool:
    return now - peer.last_heard_at <= SILENCE_LIMIT_NS


def _is_listed_leaving(state: MembershipState, name: str) -> bool:
    listed = state.listed.get(name)
    return listed is not None and listed.is_leaving


def _is_starting(state: MembershipState, now: Nanoseconds) -> bool:
    if state.started_at is None:
        return False
    return now - state.started_at <= SILENCE_LIMIT_NS


def _is_watcher_candidate(
    state: MembershipState, name: str, is_linked: bool, now: Nanoseconds
) -> bool:
    if name == state.own.instance:
        return not state.status.is_leaving
    peer = state.known_peers.get(name)
    if peer is None or not _is_live(peer, now):
        return not is_linked and not _is_listed_leaving(state, name)
    return peer.heartbeat is None or not peer.heartbeat.is_leaving
