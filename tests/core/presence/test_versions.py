"""Tests daemons whose configuration is older than that of the others."""

from attrs import evolve

from geraniumshelf_core.presence.commands import record_heartbeat
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.presence.versions import (
    VersionState,
    begin_loading,
    compare_versions,
    has_missed_version,
)
from geraniumshelf_core.units import SECOND_NS

_NOW = 100 * SECOND_NS
_HEARTBEAT = PresenceHeartbeat(
    'other', 1, 1, 'a1', 'ip', 'a:1', is_ready=True, version=6
)


def _reported(version: int) -> PresenceState:
    presence = PresenceState('ip me')
    record_heartbeat(presence, evolve(_HEARTBEAT, version=version), _NOW)
    return presence


def test_daemon_that_starts_needs_the_version_of_the_others() -> None:
    """The store may run on an older copy that holds withdrawn keys."""
    state = VersionState()
    compare_versions(state, _reported(6), 0, _NOW, is_loaded=False)
    assert state.required_version == 6
    later = _NOW + 10 * SECOND_NS
    compare_versions(state, _reported(6), 5, later, is_loaded=False)
    assert state.required_version == 6
    compare_versions(state, _reported(6), 6, later, is_loaded=True)
    compare_versions(state, _reported(7), 6, later + SECOND_NS, is_loaded=True)
    assert state.required_version == 0


def test_daemon_that_serves_is_not_stopped_by_a_later_version() -> None:
    """Each change reaches some daemons shortly before the others."""
    state = VersionState()
    compare_versions(state, _reported(6), 6, _NOW, is_loaded=True)
    later = _NOW + SECOND_NS
    compare_versions(state, _reported(9), 6, later, is_loaded=True)
    assert state.required_version <= 6
    assert state.behind_since == later
    assert state.newest_version == 9
    compare_versions(state, _reported(9), 9, later, is_loaded=True)
    assert state.behind_since is None


def test_version_that_no_daemon_has_any_more_is_not_needed() -> None:
    """Without other daemons the store is the only source of the version."""
    state = VersionState()
    compare_versions(state, _reported(6), 0, _NOW, is_loaded=False)
    compare_versions(state, PresenceState('me'), 5, _NOW, is_loaded=True)
    assert state.required_version <= 5


def test_standby_that_takes_callers_again_compares_anew() -> None:
    """A standby does not follow changes, so its version may be outdated."""
    state = VersionState()
    compare_versions(state, _reported(6), 6, _NOW, is_loaded=True)
    begin_loading(state)
    later = _NOW + 60 * SECOND_NS
    compare_versions(state, _reported(8), 0, later, is_loaded=False)
    assert state.required_version == 8


def test_version_elsewhere_is_missed_until_the_store_has_responded() -> None:
    """Guard against calls without end for a version that cannot be read."""
    state = VersionState()
    compare_versions(state, _reported(6), 6, _NOW, is_loaded=True)
    assert not has_missed_version(state, _NOW)
    compare_versions(state, _reported(7), 6, _NOW, is_loaded=True)
    assert has_missed_version(state, None)
    assert has_missed_version(state, _NOW + SECOND_NS // 2)
    assert not has_missed_version(state, _NOW + 2 * SECOND_NS)
