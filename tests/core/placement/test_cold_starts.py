"""Tests how the evidence that a server is not cold is used."""

from attrs import evolve
from tests.core.placement.harness import NOW, make_state, serve

from geraniumshelf_core.placement.cold_starts import (
    choose_checks,
    confirm_list,
    may_get_request,
    record_health,
)
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
    record_need,
    remove_server,
)
from geraniumshelf_core.placement.state import PlacementRequest, PlacementState
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

_SHARE = 3
_REQUEST = PlacementRequest('desk', 'object')
# The harness confirms the list until this time.
_LAST_CONTACT = 3700 * SECOND_NS
_OLD: Nanoseconds = _LAST_CONTACT + 2 * SECOND_NS


def _make_state(**zones: str) -> PlacementState:
    state = make_state(zones)
    state.cold_rate_per_share['desk'] = _SHARE
    return state


def _send_all(state: PlacementState, name: str, now: Nanoseconds) -> int:
    """Send as many requests at once as the limits allow, at most 20."""
    view = state.servers[name]
    sent = 0
    while sent < 20 and may_get_request(state, view, now):
        serve(state, view, 'object', now)
        sent += 1
    return sent


def test_outdated_list_limits_the_rate() -> None:
    """Guard against the full rate to a server that may have become cold."""
    state = _make_state(s1='a1', t1='b1')
    assert _send_all(state, 's1', _LAST_CONTACT + SECOND_NS) == 20
    assert _send_all(state, 's1', _OLD + SECOND_NS) == _SHARE
    assert _send_all(state, 't1', _OLD) == 0


def test_restored_contact_ends_the_limit() -> None:
    """Guard against refusals after an outage has ended."""
    state = _make_state(s1='a1')
    assert _send_all(state, 's1', _OLD) == _SHARE
    confirm_list(state, _OLD)
    assert _send_all(state, 's1', _OLD) == 20


def test_health_check_counts_for_a_second() -> None:
    """Guard against the full rate long after the last health check."""
    state = _make_state(s1='a1', t1='b1')
    record_health(state.servers['t1'], 0, _OLD)
    assert _send_all(state, 't1', _OLD + SECOND_NS) == 20
    assert _send_all(state, 't1', _OLD + 1100 * MILLISECOND_NS) == 0


def test_health_check_of_a_cold_server_limits_the_rate() -> None:
    """Guard against the full rate to a server that says that it is cold."""
    state = _make_state(s1='a1')
    confirm_list(state, _OLD)
    record_health(state.servers['s1'], 2 * SECOND_NS, _OLD)
    assert _send_all(state, 's1', _OLD) == _SHARE


def test_requests_before_the_cold_start_count_against_its_limit() -> None:
    """Guard against a share on top of the requests that were just sent."""
    state = _make_state(s1='a1')
    now = _LAST_CONTACT
    view = state.servers['s1']
    for _ in range(2):
        serve(state, view, 'object', now)
    put_server(state, view.server, now, cold_time=3 * SECOND_NS)
    assert _send_all(state, 's1', now) == _SHARE - 2


def test_daemon_that_has_just_started_sends_a_cold_server_nothing() -> None:
    """Guard against two shares in one second around a restart.

    The run before the restart may have used its share.
    """
    state = _make_state(s1='a1')
    state.started_at = _OLD
    assert _send_all(state, 's1', _OLD + SECOND_NS) == 0
    assert _send_all(state, 's1', _OLD + 3 * SECOND_NS) == _SHARE


def test_entry_that_lapses_and_returns_brings_no_second_share() -> None:
    """Guard against two shares in one second when an entry comes back."""
    state = _make_state(s1='a1')
    server = state.servers['s1'].server
    assert _send_all(state, 's1', _OLD) == _SHARE
    remove_server(state, 's1')
    put_server(state, server, _OLD)
    assert _send_all(state, 's1', _OLD + SECOND_NS // 2) == 0
    restarted = evolve(server, started_at_ms=9)
    put_server(state, restarted, _OLD)
    assert _send_all(state, 's1', _OLD + SECOND_NS // 2) == 0


def test_server_that_was_unreachable_gets_the_full_rate_after_a_check() -> None:
    """Guard against the full rate to a server that restarted under its name.

    It accepts requests before its entry tells of the restart.
    """
    state = _make_state(s1='a1')
    view = state.servers['s1']
    begin_request(state, view)
    end_request(state, view, Outcome(is_unreachable=True), NOW)
    now = NOW + 2 * SECOND_NS
    assert _send_all(state, 's1', now) == _SHARE
    record_need(state, _REQUEST, now)
    assert choose_checks(state, now) == (view,)
    record_health(view, 0, now)
    assert _send_all(state, 's1', now) == 20


def test_only_needed_servers_are_checked_and_not_at_once_again() -> None:
    """Guard against health checks that take slots from requests."""
    state = _make_state(s1='a1', t1='b1')
    view = state.servers['s1']
    record_need(state, _REQUEST, _LAST_CONTACT)
    assert not choose_checks(state, _LAST_CONTACT)
    assert not choose_checks(state, _OLD)
    record_need(state, _REQUEST, _OLD)
    # Few requests are within the limit of cold servers.
    assert not choose_checks(state, _OLD)
    for _ in range(_SHARE):
        serve(state, view, 'object', _OLD)
    assert choose_checks(state, _OLD) == (view,)
    assert not choose_checks(state, _OLD + 300 * MILLISECOND_NS)
    record_health(view, 0, _OLD + 300 * MILLISECOND_NS)
    assert not choose_checks(state, _OLD + 500 * MILLISECOND_NS)
