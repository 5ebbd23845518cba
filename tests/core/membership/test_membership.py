"""Tests the membership state: liveness, watchers and contact."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.codec import Frame, encode_frame
from geraniumshelf_core.membership import commands, queries
from geraniumshelf_core.membership.contact import (
    is_contact_announcement_due,
    is_cut_off,
)
from geraniumshelf_core.membership.state import ListedMember, MembershipState
from geraniumshelf_core.messages.membership import Heartbeat, Hello, MemberList
from geraniumshelf_core.units import SECOND_NS


def _hello(name: str, zone: str = 'a', incarnation: int = 1) -> Hello:
    return Hello(name, zone, 'r', f'{name}:80', f'{name}:81', incarnation)


def _heartbeat(
    sequence: int, *, incarnation: int = 1, slot: str = '', age_ms: int = -1
) -> Heartbeat:
    return Heartbeat(incarnation, sequence, 1, slot, 0, False, age_ms)


def test_silent_peer_is_not_live() -> None:
    """A dead entry instance must be dropped from lookups within 3 s."""
    state = MembershipState(_hello('own'))
    commands.record_link(state, _hello('peer'), 0)
    assert commands.record_heartbeat(
        state, 'peer', _heartbeat(1, slot='a/1'), SECOND_NS
    )
    live = queries.live_members(state, 0, 4 * SECOND_NS)
    assert queries.slot_holders(live) == {'a/1': 'peer'}
    assert len(queries.live_members(state, 0, 4 * SECOND_NS + 1)) == 1
    commands.expire_silent_peers(state, (), 4 * SECOND_NS + 1)
    assert not state.known_peers


def test_linked_peers_come_back_after_a_pause() -> None:
    """After a pause, a daemon must accept the heartbeats it has not read.

    If it removed its silent but linked peers first, it would ignore those
    heartbeats as ones of unknown peers.
    """
    state = MembershipState(_hello('own'))
    commands.record_link(state, _hello('peer'), 0)
    commands.expire_silent_peers(state, ('peer',), 9 * SECOND_NS)
    assert commands.record_heartbeat(
        state, 'peer', _heartbeat(1), 9 * SECOND_NS
    )
    assert len(queries.live_members(state, 0, 9 * SECOND_NS)) == 2


def test_replaced_incarnation_is_a_new_peer() -> None:
    """The slot of a former incarnation must not count for a new one."""
    state = MembershipState(_hello('own'))
    commands.record_link(state, _hello('peer'), 0)
    commands.record_heartbeat(state, 'peer', _heartbeat(9, slot='a/1'), 0)
    commands.record_link(state, _hello('peer', incarnation=2), 0)
    assert queries.slot_holders(queries.live_members(state, 0, 0)) == {}
    assert not commands.record_heartbeat(
        state, 'peer', _heartbeat(10, slot='a/1'), 0
    )
    assert commands.record_heartbeat(
        state, 'peer', _heartbeat(1, incarnation=2), 0
    )
    assert not commands.record_heartbeat(
        state, 'peer', _heartbeat(1, incarnation=2), 0
    )


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('platform', 'same zone', 'other zone')),
            st.integers(0, 2000),
            st.integers(0, 5000),
        )
    ),
    st.integers(0, 5000),
)
def test_cut_off_after_three_seconds_without_contact(
    contacts: list[tuple[str, int, int]], end_ms: int
) -> None:
    """Peers that repeat old contacts must not keep a zone in service."""
    state = MembershipState(_hello('own'))
    now, last_contact = 0, None
    commands.record_link(state, _hello('mate'), 0)
    for sequence, (kind, delay_ms, age_ms) in enumerate(contacts):
        now += delay_ms * 1_000_000
        contact = now
        if kind == 'platform':
            commands.record_contact(state, now)
        elif kind == 'other zone':
            commands.record_link(state, _hello('far', 'b', sequence), now)
        else:
            contact -= age_ms * 1_000_000
            commands.record_heartbeat(
                state, 'mate', _heartbeat(sequence, age_ms=age_ms), now
            )
        last_contact = (
            contact if last_contact is None else max(last_contact, contact)
        )
    now += end_ms * 1_000_000
    expected = last_contact is None or now - last_contact > 3 * SECOND_NS
    assert is_cut_off(state, now) == expected


@given(st.integers(1, 60), st.integers(0, 2))
def test_every_zone_has_its_watchers(count: int, silent: int) -> None:
    """A zone without a watcher would miss configuration changes."""
    names = [f'i{number}' for number in range(count)]
    rows = [ListedMember(name, 'a', f'{name}:81', False) for name in names]
    watcher_flags = []
    for name in names:
        state = MembershipState(_hello(name))
        commands.replace_instance_list(state, rows, 0)
        for peer in queries.link_targets(state, 0):
            commands.record_link(state, _hello(peer), 0)
        first = queries.zone_watchers(state, 0)
        for lost in first[:silent]:
            state.known_peers.pop(lost, None)
        if name not in first[:silent]:
            watcher_flags.append(name in queries.zone_watchers(state, 0))
    assert sum(watcher_flags) == min(2, max(0, count - silent))


@given(st.integers(1, 40), st.lists(st.integers(0, 900), max_size=20))
def test_contact_is_announced_at_once_in_a_tree_only(
    count: int, steps_ms: list[int]
) -> None:
    """Waiting for a heartbeat at each level would cut off lower levels.

    In a full mesh, announcing each contact would only add heartbeats.
    """
    state = MembershipState(_hello('i0'))
    names = [f'i{number}' for number in range(count)]
    commands.replace_instance_list(
        state, [ListedMember(n, 'a', n, False) for n in names], 0
    )
    now, announced = 0, 0
    for step_ms in steps_ms:
        now += step_ms * 1_000_000
        commands.record_contact(state, now)
        if is_contact_announcement_due(state, now):
            announced += 1
            commands.next_heartbeat(state, 0, now)
        elif count > 16:
            assert now - (state.announced_contact_at or 0) < SECOND_NS // 2
    limit = 1 + 2 * now // SECOND_NS
    assert announced <= (limit if count > 16 else 0)


def test_older_or_malformed_list_changes_nothing() -> None:
    """An outdated list of a peer must not bring back a removed instance."""
    state = MembershipState(_hello('own'))
    newer = MemberList(0, (('i1', 'a', 'i1:81', False),))
    assert commands.record_member_list(state, newer, 5 * SECOND_NS)
    older = MemberList(1000, (('i2', 'a', 'i2:81', False),))
    assert not commands.record_member_list(state, older, 5 * SECOND_NS)
    broken: MemberList = MemberList(0, (('i2', 1),))  # type: ignore[arg-type]
    assert not commands.record_member_list(state, broken, 6 * SECOND_NS)
    assert queries.member_list(state, 5 * SECOND_NS) == newer


def test_heartbeats_of_nine_daemons_fit_the_byte_budget() -> None:
    """Heartbeats to and from eight peers must stay below 1 KB a second."""
    state = MembershipState(_hello('own', incarnation=2**64 - 1))
    state.status.slot = 'hawassa-a/2'
    state.status.window = 2**20
    state.status.sequence = 2**20
    commands.record_contact(state, -2 * SECOND_NS)
    heartbeat = commands.next_heartbeat(state, 2**20, 0)
    websocket_header_and_mask = 6
    size = (
        len(encode_frame(Frame(2**28, 0, heartbeat)))
        + websocket_header_and_mask
    )
    assert size * 16 < 1024
