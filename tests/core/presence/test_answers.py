"""Guards the decision whether a missing entry may come back."""

from attrs import evolve

from geraniumshelf_core.presence.state import (
    PeerPresence,
    PresenceHeartbeat,
    PresenceState,
)
from geraniumshelf_core.presence.store_availability import (
    StoreAvailability,
    make_outage_limits,
    record_answer,
    record_failure,
    store_available_for,
    store_available_since,
)
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

_LIMITS = make_outage_limits(3 * SECOND_NS // 2, 4 * SECOND_NS)
_ERA = 1
_BEAT = PresenceHeartbeat(
    'n2', 1, 1, 'a1', 'ip', 'a:1', is_ready=True, store_era=_ERA
)


def _presence(answered: Nanoseconds, heard_at: Nanoseconds) -> PresenceState:
    presence = PresenceState('me')
    heartbeat = evolve(_BEAT, store_available_for=answered)
    presence.peers['n2'] = PeerPresence(heartbeat, heard_at)
    return presence


def _answers(*seconds: float, fails: bool = False) -> StoreAvailability:
    """Return the state after answers, with failures between them if asked."""
    state = StoreAvailability()
    for at in seconds:
        if fails:
            record_failure(state)
        record_answer(state, _ERA, _LIMITS, round(at * SECOND_NS))
    return state


def _since(
    state: StoreAvailability, presence: PresenceState, now: float
) -> float:
    found = store_available_since(
        state, presence, _LIMITS, round(now * SECOND_NS)
    )
    return found / SECOND_NS


def test_one_lost_call_is_no_outage() -> None:
    """After a reset a server that left stayed in use for two seconds."""
    state = _answers(1, 2, 3.5, fails=True)
    assert _since(state, PresenceState('me'), 3.5) < 0


def test_outage_in_which_entries_lapse_counts_from_its_end() -> None:
    """Servers that are alive would be dropped with their lapsed entries."""
    state = _answers(1, 2, 6, fails=True)
    assert _since(state, PresenceState('me'), 6) == 6
    record_failure(state)
    assert _since(state, PresenceState('me'), 7) == 7


def test_another_daemon_knows_that_the_store_was_there() -> None:
    """A daemon that was cut off took the cut for an outage of the store."""
    state = _answers(1, 13, fails=True)
    presence = _presence(60 * SECOND_NS, 13 * SECOND_NS)
    assert _since(state, presence, 13.5) == -47


def test_report_of_another_daemon_does_not_outlive_an_outage() -> None:
    """It was heard before the store went away for all."""
    state = _answers(1, 13, fails=True)
    presence = _presence(60 * SECOND_NS, 9 * SECOND_NS)
    assert _since(state, presence, 13) == 13


def test_report_about_an_earlier_era_does_not_count() -> None:
    """The store has come back from a copy that may lack entries since."""
    state = _answers(1, 2)
    record_answer(state, _ERA + 1, _LIMITS, 3 * SECOND_NS)
    presence = _presence(60 * SECOND_NS, 3 * SECOND_NS)
    assert _since(state, presence, 3) == 3


def test_report_of_a_daemon_that_asks_rarely_does_not_count() -> None:
    """A silent outage may have passed while it waited for a change."""
    state = _answers(1, 26)
    assert store_available_for(state, _LIMITS, 26 * SECOND_NS) == 0
    record_answer(state, _ERA, _LIMITS, 28 * SECOND_NS)
    assert store_available_for(state, _LIMITS, 28 * SECOND_NS) == 2 * SECOND_NS
    record_failure(state)
    assert store_available_for(state, _LIMITS, 28 * SECOND_NS) == 0
