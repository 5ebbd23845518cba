"""Tests which revisions of slot holders the allowances see."""

from geraniumshelf_core.membership import roster_updates
from geraniumshelf_core.membership.commands import record_link
from geraniumshelf_core.membership.state import MembershipState
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.roster.commands import merge_rows
from geraniumshelf_core.roster.queries import export_rows
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.wiring.slot_members import SlotMembers


def _hello(name: str, incarnation: int = 1) -> Hello:
    return Hello(name, 'z', 'r', '', name, incarnation)


def test_confirmed_revisions_are_the_last_reported_and_include_the_table() -> (
    None
):
    """Guard against an outdated revision that counts as confirmed.

    A restarted holder may have an older layout than before its restart.
    """
    members = Members(_hello('own'), lambda: 7)
    slots = SlotMembers(members)
    for incarnation, revision in ((1, 5), (2, 0)):
        now = current_time()
        record_link(members.state, _hello('peer', incarnation), now)
        heartbeat = Heartbeat(incarnation, 1, revision, 'z/1', 0, False, -1)
        members.receive_heartbeat('peer', heartbeat, now)
        assert slots.confirmed_revisions(0) == {'z/1': revision}
        assert not slots.confirmed_revisions(current_time())
    far = MembershipState(_hello('far'))
    far.status.slot = 'z/2'
    for revision, expected in ((3, 3), (4, 3), (6, 6)):
        # Only a revision with another layout is confirmed to all members.
        far.status.confirmed_revision = 6 if revision == 6 else 0
        roster_updates.refresh_own_entry(far, revision, 0)
        rows = export_rows(far.roster, ('far',), 0)
        merge_rows(members.state.roster, rows, 'peer', current_time())
        confirmed = slots.confirmed_revisions(0)
        assert confirmed == {'z/1': 0, 'z/2': expected}
