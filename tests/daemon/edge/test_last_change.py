"""Tests the last change that heartbeats report."""

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_daemon.edge.followed_kinds import is_change_urgent
from geraniumshelf_daemon.edge.interface import EvacuatedZone, RecordSet
from geraniumshelf_daemon.edge.last_change import LastChange


def _view(revision: int, last_change: int, *names: str) -> RecordSet:
    return RecordSet(
        StoreRevision(1, revision),
        {name: EvacuatedZone(name) for name in names},
        StoreRevision(1, last_change),
    )


def test_list_tells_of_changes_and_removals() -> None:
    """Guard against changes that only the daemon which listed them knows."""
    last_change = LastChange()
    last_change.record_list(_view(20, 7, 'a1', 'b1'))
    assert last_change.revision == StoreRevision(1, 7)
    last_change.record_changes(_view(22, 21, 'c1'))
    last_change.record_list(_view(30, 25, 'a1', 'b1', 'c1'))
    assert last_change.revision == StoreRevision(1, 25)
    last_change.record_list(_view(40, 25, 'a1', 'c1'))
    assert last_change.revision == StoreRevision(1, 40)


def test_removal_that_a_watch_has_told_is_not_reported_again() -> None:
    """Guard against renewals at other daemons without a change."""
    last_change = LastChange()
    last_change.record_list(_view(20, 7, 'a1', 'b1'))
    last_change.record_changes(
        RecordSet(StoreRevision(1, 22), {'b1': None}, StoreRevision(1, 21))
    )
    last_change.record_list(_view(40, 7, 'a1'))
    assert last_change.revision == StoreRevision(1, 21)


def test_servers_cause_no_heartbeats_of_their_own() -> None:
    """Servers change all the time, and the messages must not grow with that."""
    first, second = StoreRevision(1, 7), StoreRevision(1, 8)
    reported = (first, first, first)
    assert is_change_urgent(reported, (second, first, first))
    assert is_change_urgent(reported, (first, first, second))
    assert not is_change_urgent(reported, (first, second, first))
    assert not is_change_urgent((), ())
    assert not is_change_urgent((), reported)
    assert not is_change_urgent(reported, ())
