"""Tests which members are listed as entry instances."""

from geraniumshelf_core.membership.commands import record_link
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.wiring.member_entries import MemberEntries


def _hello(name: str) -> Hello:
    return Hello(name, 'z', 'r', f'{name}:80', f'{name}:81', 1)


def test_peer_is_no_entry_before_its_window_and_revision_are_known() -> None:
    """Guards against request ids with a guessed window.

    They would be refused as expired. A newly linked peer reports its window
    and revision only with its first heartbeat.
    """
    members = Members(_hello('own'), lambda: 3)
    entries = MemberEntries(members)
    now = current_time()
    record_link(members.state, _hello('peer'), now)
    entries.refresh(now)
    assert [entry.instance for entry in entries.entries()] == ['own']
    for revision, names in ((0, ['own']), (3, ['own', 'peer'])):
        heartbeat = Heartbeat(1, 1 + revision, revision, '', 7, False, 0)
        members.receive_heartbeat('peer', heartbeat, now)
        entries.refresh(now)
        assert [entry.instance for entry in entries.entries()] == names
