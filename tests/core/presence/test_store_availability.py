"""Tests since when the store has been available without an outage."""

from attrs import evolve

from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.presence.store_availability import (
    StoreAvailability,
    make_outage_limits,
    record_failure,
    record_response,
    store_available_for,
    store_available_since,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_LIMITS = make_outage_limits(3 * SECOND_NS // 2, 4 * SECOND_NS)
_ERA = 1
_HEARTBEAT = PresenceHeartbeat(
    'n2', 1, 1, 'a1', 'ip', 'a:1', is_ready=True, store_era=_ERA
)


def _presence(
    available_for: Nanoseconds, last_heard_at: Nanoseconds
) -> PresenceState:
    presence = PresenceState('me')
    heartbeat = evolve(_HEARTBEAT, store_available_for=available_for)
    presence.peers['n2'] = PeerPresence(heartbeat, last_heard_at)
    return presence


def _state_after_responses(
    *seconds: float, fails: bool = False
) -> StoreAvailability:
    """Return the state after responses, each after a failure if ``fails``."""
    state = StoreAvailability()
    for at in seconds:
        if fails:
            record_failure(state)
        record_response(state, _ERA, _LIMITS, round(at * SECOND_NS))
    return state


def _available_since_s(
    state: StoreAvailability, presence: PresenceState, now: float
) -> float:
    since_ns = store_available_since(
        state, presence, _LIMITS, round(now * SECOND_NS)
    )
    return since_ns / SECOND_NS


def test_one_lost_call_is_no_outage() -> None:
    """A single failed call must not count as an outage of the store.

    Otherwise a server that has left would stay in use for two seconds after a
    connection reset.
    """
    state = _state_after_responses(1, 2, 3.5, fails=True)
    assert _available_since_s(state, PresenceState('me'), 3.5) < 0


def test_outage_in_which_entries_lapse_counts_from_its_end() -> None:
    """Entries may have expired in an outage of more than two intervals.

    Servers that are alive would be dropped if their missing entries counted as
    those of servers that have left.
    """
    state = _state_after_responses(1, 2, 6, fails=True)
    assert _available_since_s(state, PresenceState('me'), 6) == 6
    record_failure(state)
    assert _available_since_s(state, PresenceState('me'), 7) == 7


def test_another_daemon_knows_that_the_store_was_there() -> None:
    """A daemon that was cut off must not take that for an outage of the store.

    The heartbeats of another daemon show that the store has responded.
    """
    state = _state_after_responses(1, 13, fails=True)
    presence = _presence(60 * SECOND_NS, 13 * SECOND_NS)
    assert _available_since_s(state, presence, 13.5) == -47


def test_report_of_another_daemon_does_not_outlive_an_outage() -> None:
    """A report from before the outage does not cover the outage itself."""
    state = _state_after_responses(1, 13, fails=True)
    presence = _presence(60 * SECOND_NS, 9 * SECOND_NS)
    assert _available_since_s(state, presence, 13) == 13


def test_report_about_an_earlier_era_does_not_count() -> None:
    """After a restore from a copy the store may lack entries written since."""
    state = _state_after_responses(1, 2)
    record_response(state, _ERA + 1, _LIMITS, 3 * SECOND_NS)
    presence = _presence(60 * SECOND_NS, 3 * SECOND_NS)
    assert _available_since_s(state, presence, 3) == 3


def test_report_of_a_daemon_that_asks_rarely_does_not_count() -> None:
    """A daemon whose watch waits long may miss an outage without an error."""
    state = _state_after_responses(1, 26)
    assert store_available_for(state, _LIMITS, 26 * SECOND_NS) == 0
    record_response(state, _ERA, _LIMITS, 28 * SECOND_NS)
    assert store_available_for(state, _LIMITS, 28 * SECOND_NS) == 2 * SECOND_NS
    record_failure(state)
    assert store_available_for(state, _LIMITS, 28 * SECOND_NS) == 0
