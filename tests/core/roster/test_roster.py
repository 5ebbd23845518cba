"""Guards the member table against lost, late and duplicate changes."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.codec import Frame, decode_frame, encode_frame
from geraniumshelf_core.idempotency.request_id import current_window
from geraniumshelf_core.membership import queries, roster_updates
from geraniumshelf_core.membership.commands import record_link
from geraniumshelf_core.membership.state import ListedMember, MembershipState
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.messages.roster import MemberRows
from geraniumshelf_core.roster import commands
from geraniumshelf_core.roster.queries import (
    build_pull,
    differing_instances,
    digest,
    export_rows,
    live_entries,
    request_id_window,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_NAMES = ('a', 'b', 'c', 'd')


def _state(name: str, incarnation: int = 1) -> MembershipState:
    zone = 'z' if name < 'c' else 'y'
    hello = Hello(name, zone, 'r', name, f'{name}:1', incarnation)
    return MembershipState(hello)


def _merge(state: MembershipState, rows: Any) -> None:
    message = decode_frame(encode_frame(Frame(1, 0, MemberRows(rows)))).message
    commands.merge_rows(state.roster, message.rows, 'peer', 0)
    roster_updates.refresh_own_entry(state, 1, 0)


def _pull(requester: MembershipState, other: MembershipState) -> None:
    names = differing_instances(other.roster, build_pull(requester.roster))
    _merge(requester, export_rows(other.roster, names, 0))


@given(
    st.lists(
        st.tuples(
            st.sampled_from(('slot', 'restart', 'withdraw', 'send')),
            st.sampled_from(_NAMES),
            st.sampled_from(_NAMES),
            st.integers(0, 9),
        ),
        max_size=40,
    )
)
def test_table_converges_to_the_latest_entry_of_each_member(
    steps: list[tuple[str, str, str, int]],
) -> None:
    """Lost, late and duplicate changes must not leave an old entry behind."""
    states = {name: _state(name) for name in _NAMES}
    sent: list[Any] = [()]
    for number, (kind, name, other, choice) in enumerate(steps):
        state = states[name]
        if kind == 'restart':
            # The new incarnation may have a smaller number than the former.
            states[name] = state = _state(name, 2 + (number * 7919) % 11)
        elif kind == 'withdraw' and name != other:
            known = state.roster.records.get(other)
            incarnation = known.entry.hello.incarnation if known else 0
            commands.withdraw(state.roster, other, incarnation, 0)
        elif kind == 'slot':
            state.status.slot = f'z/{choice}'
        roster_updates.refresh_own_entry(state, 1, 0)
        sent.append(export_rows(state.roster, _NAMES, 0))
        if kind == 'send':
            _merge(states[other], sent[choice % len(sent)])
    for _ in range(3):
        for name in _NAMES:
            roster_updates.refresh_own_entry(states[name], 1, 0)
            for other in _NAMES:
                _pull(states[name], states[other])
    assert len({digest(state.roster) for state in states.values()}) == 1
    for state in states.values():
        entries = live_entries(state.roster)
        assert set(entries) == set(_NAMES)
        for name, entry in entries.items():
            member = states[name]
            assert entry.hello == member.own
            assert entry.slot == member.status.slot


@given(st.integers(0, 10**12), st.integers(0, 10**12), st.integers(0, 90_000))
def test_window_from_an_anchor_is_at_most_one_behind(
    issuer_ms: int, own_ms: int, later_ms: int
) -> None:
    """With a window ahead of the issuer's, each request id is unknown."""
    state, reader = _state('a'), _state('b')
    issuer = issuer_ms * MILLISECOND_NS
    roster_updates.refresh_own_entry(state, 1, issuer)
    late = issuer + 50 * MILLISECOND_NS
    rows = export_rows(state.roster, 'a', late)
    own = own_ms * MILLISECOND_NS
    commands.merge_rows(reader.roster, rows, 'peer', own)
    later = later_ms * MILLISECOND_NS
    window = request_id_window(reader.roster.records['a'], own + later)
    assert current_window(late + later) - window in {0, 1}


def test_only_lost_neighbours_are_withdrawn() -> None:
    """A failed daemon must be withdrawn, but not one whose link has moved."""
    names = [f'i{number}' for number in range(20)]
    state = MembershipState(Hello('i0', 'z', 'r', '', 'i0', 1))
    state.listed = {n: ListedMember(n, 'z', n, False) for n in names}
    for name in names[1:]:
        peer = MembershipState(Hello(name, 'z', 'r', '', name, 1))
        roster_updates.refresh_own_entry(peer, 1, 0)
        rows = export_rows(peer.roster, (name,), 0)
        commands.merge_rows(state.roster, rows, 'peer', 0)
    targets = set(queries.link_targets(state, 0))
    roster_updates.withdraw_lost_peers(state, 0)
    roster_updates.withdraw_lost_peers(state, 6 * SECOND_NS)
    assert len(live_entries(state.roster)) == 19
    roster_updates.withdraw_lost_peers(state, 6 * SECOND_NS + 1)
    assert set(names[1:]) - set(live_entries(state.roster)) == targets


def test_a_zone_with_both_roots_withdrawn_is_not_live() -> None:
    """No daemon is left to withdraw the other daemons of a failed zone."""
    names = [f'i{number}' for number in range(20)]
    state = MembershipState(Hello('own', 'z', 'r', '', 'own', 1))
    state.listed = {n: ListedMember(n, 'y', n, False) for n in names}
    for name in names:
        peer = MembershipState(Hello(name, 'y', 'r', '', name, 1))
        roster_updates.refresh_own_entry(peer, 1, 0)
        rows = export_rows(peer.roster, (name,), 0)
        commands.merge_rows(state.roster, rows, 'peer', 0)
    roots = queries.rank_zone_instances(
        'y', queries.zones_by_instance(state, 0)
    )[:2]
    for root, left in zip(roots, (19, 0), strict=True):
        commands.withdraw(state.roster, root, 1, 0)
        assert len(queries.roster_only_instances(state, 0)) == left


@pytest.mark.parametrize('count', [2, 7, 18])
def test_few_daemons_of_a_zone_step_back(count: int) -> None:
    """An unreachable platform must not make all daemons of a zone call it."""
    names = [f'i{number}' for number in range(count)]
    states = {n: MembershipState(Hello(n, 'z', 'r', '', n, 1)) for n in names}
    for state in states.values():
        state.listed = {n: ListedMember(n, 'z', n, False) for n in names}
    watched = set()
    for second in range(15):
        now = second * SECOND_NS
        for name, state in states.items():
            for other in queries.link_targets(state, now):
                record_link(state, states[other].own, now)
            roster_updates.check_watcher_contact(state, now)
            roster_updates.refresh_own_entry(state, 1, now)
            rows = export_rows(state.roster, (name,), now)
            for reader in states.values():
                commands.merge_rows(reader.roster, rows, name, now)
        watched |= {n for n in names if _watches(states[n], now)}
    assert len(watched) == min(count, 6)
    failed = [n for n in names if states[n].status.is_failed_watcher]
    assert len(failed) == min(count, 4)
    due = [roster_updates.is_probe_due(s, s.probe_at) for s in states.values()]
    assert sum(due) == 2
    assert not any(roster_updates.is_probe_due(s, now) for s in states.values())
    for name in failed:
        # A response that was in flight must not restore a watcher immediately.
        roster_updates.record_platform_contact(
            states[name], states[name].probe_at - 1
        )
        assert states[name].status.is_failed_watcher
        roster_updates.record_platform_contact(
            states[name], states[name].probe_at
        )
        assert not states[name].status.is_failed_watcher


def _watches(state: MembershipState, now: int) -> bool:
    return state.own.instance in queries.zone_watchers(state, now)
