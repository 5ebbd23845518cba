"""Tests how often daemons call the store, and which ones are up to date."""

from attrs import evolve
from tests.core.presence.test_entry_role import heartbeat, ready, standby

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.presence.commands import (
    record_heartbeat,
    register_instance,
)
from geraniumshelf_core.presence.freshness import (
    ForwardingState,
    choose_forwarding_target,
    has_missed_changes,
    is_prober,
    is_zone_lead,
    watch_timeout,
)
from geraniumshelf_core.presence.queries import (
    CROSS_ZONE_INTERVAL_NS,
    fleet_size,
    heartbeat_interval,
    is_relay,
)
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import SECOND_NS

_CONTACT_TIME_NS = 4 * SECOND_NS
_MAX_AGE_NS = 3 * SECOND_NS
_NOW = 100 * SECOND_NS
_ME = heartbeat('me')


def _large(*heartbeats: PresenceHeartbeat, now: int = _NOW) -> PresenceState:
    """Return the state at a daemon of a large fleet."""
    state = PresenceState('ip me', is_complete=True)
    for number in range(40):
        register_instance(
            state, f'n{number}', RegisteredInstance('b1'), f'ip {number}'
        )
    for peer_heartbeat in heartbeats:
        record_heartbeat(state, peer_heartbeat, now)
    return state


def _confirmed(name: str, age_s: float = 1) -> PresenceHeartbeat:
    return evolve(ready(name), configuration_age=round(age_s * SECOND_NS))


def test_one_entry_of_a_zone_renews_its_watches_early() -> None:
    """Calls to the store cost money and must not grow with the entries."""
    state = _large(_confirmed('a'), _confirmed('z'))
    assert not is_zone_lead(state, _ME, _CONTACT_TIME_NS, _NOW)
    assert watch_timeout(state, _ME, _CONTACT_TIME_NS, _NOW) > 20 * SECOND_NS
    first = _large(_confirmed('z'))
    assert watch_timeout(first, _ME, _CONTACT_TIME_NS, _NOW) < _CONTACT_TIME_NS


def test_entry_leads_once_the_configuration_of_the_lead_is_old() -> None:
    """A lead that is cut off from the store reports no changes to the others.

    Another entry must take over as soon as its configuration is too old.
    """
    state = _large(_confirmed('a'))
    assert not is_zone_lead(state, _ME, _CONTACT_TIME_NS, _NOW)
    assert is_zone_lead(state, _ME, _CONTACT_TIME_NS, _NOW + _CONTACT_TIME_NS)
    assert is_zone_lead(_large(_confirmed('a', 5)), _ME, _CONTACT_TIME_NS, _NOW)


def test_all_daemons_of_a_small_fleet_follow_closely() -> None:
    """The calls of a small fleet cost little, so every entry makes its own.

    The zones of a small fleet have only one or two daemons each.
    """
    state = PresenceState('ip me', is_complete=True)
    record_heartbeat(state, _confirmed('a'), _NOW)
    assert is_zone_lead(state, _ME, _CONTACT_TIME_NS, _NOW)
    assert watch_timeout(state, _ME, _CONTACT_TIME_NS, _NOW) < _CONTACT_TIME_NS


def test_one_entry_of_a_zone_asks_a_store_in_trouble_often() -> None:
    """In an outage no configuration is fresh, and all entries would call."""
    assert is_prober(_large(_confirmed('z', 60)), _ME)
    assert not is_prober(_large(_confirmed('a', 60)), _ME)
    assert is_prober(_large(standby('a')), _ME)


def test_change_that_the_own_watch_missed_is_noticed() -> None:
    """A watch whose response got lost would end only after a long wait."""
    reported = evolve(
        _confirmed('a'),
        changes=tuple(StoreRevision(2, at) for at in (7, 20, 3)),
    )
    state = _large(reported)
    assert has_missed_changes(state, _ME, 1, StoreRevision(2, 19))
    assert not has_missed_changes(state, _ME, 1, StoreRevision(2, 20))
    assert not has_missed_changes(state, _ME, 0, StoreRevision(2, 19))
    assert has_missed_changes(state, _ME, 1, StoreRevision(1, 99))
    assert not has_missed_changes(state, _ME, 1, StoreRevision(3, 1))
    far = evolve(reported, zone='b1')
    assert not has_missed_changes(_large(far), _ME, 1, StoreRevision(2, 19))
    assert has_missed_changes(
        _large(far), _ME, 1, StoreRevision(2, 19), in_all_zones=True
    )
    assert not has_missed_changes(
        _large(far), _ME, 1, StoreRevision(2, 20), in_all_zones=True
    )
    assert not has_missed_changes(
        _large(_confirmed('a')), _ME, 1, StoreRevision(2, 0)
    )


def test_standby_forwards_only_to_an_entry_with_fresh_configuration() -> None:
    """An entry that is cut off from the store has an outdated configuration."""
    forwarding = ForwardingState()
    state = _large(_confirmed('a'))
    target = choose_forwarding_target(state, forwarding, _ME, _MAX_AGE_NS, _NOW)
    assert target is not None
    assert target.name == 'a'
    later = _NOW + _MAX_AGE_NS
    assert (
        choose_forwarding_target(state, forwarding, _ME, _MAX_AGE_NS, later)
        is None
    )
    for other in (
        _confirmed('a', 5),
        evolve(_confirmed('a'), is_ready=False),
        evolve(_confirmed('a'), zone='b1'),
        standby('a'),
    ):
        assert (
            choose_forwarding_target(
                _large(other), ForwardingState(), _ME, _MAX_AGE_NS, _NOW
            )
            is None
        )


def test_standby_keeps_its_entry_and_never_gets_an_older_version() -> None:
    """A second entry may get a new configuration later than the first."""
    forwarding = ForwardingState('a', _NOW - SECOND_NS // 2)
    both = _large(_confirmed('a'), _confirmed('z', 0.1))
    target = choose_forwarding_target(both, forwarding, _ME, _MAX_AGE_NS, _NOW)
    assert target is not None
    assert target.name == 'a'
    older = _large(_confirmed('z', 1))
    assert (
        choose_forwarding_target(older, forwarding, _ME, _MAX_AGE_NS, _NOW)
        is None
    )
    forwarding.target = 'a'
    newer = _large(_confirmed('z', 0.1))
    target = choose_forwarding_target(newer, forwarding, _ME, _MAX_AGE_NS, _NOW)
    assert target is not None
    assert target.name == 'z'


def test_only_entries_send_heartbeats_to_other_zones() -> None:
    """Heartbeats between all daemons grow with the square of the fleet."""
    far_entry = evolve(ready('far'), zone='b1')
    far_standby = evolve(standby('idle'), zone='b1')
    state = _large(far_entry, far_standby, ready('near'))
    entry, idle = ready('me'), standby('me')
    assert heartbeat_interval(state, entry, 'far') == CROSS_ZONE_INTERVAL_NS
    assert heartbeat_interval(state, entry, 'idle') is None
    assert heartbeat_interval(state, entry, 'n39') is None
    assert heartbeat_interval(state, idle, 'far') is None
    assert heartbeat_interval(state, idle, 'near') is not None
    silent = _large(far_standby)
    assert heartbeat_interval(silent, entry, 'n39') is not None
    assert heartbeat_interval(silent, entry, 'n0') == CROSS_ZONE_INTERVAL_NS


def test_first_entry_tells_its_zone_of_the_others() -> None:
    """Standbys must know the entries of other zones.

    Their directories name these entries to callers.
    """
    state = _large(ready('z'), ready('a'))
    assert not is_relay(state, ready('me'))
    assert is_relay(_large(ready('z')), ready('me'))
    assert not is_relay(_large(), standby('me'))


def test_daemons_that_others_count_divide_the_limits_too() -> None:
    """New daemons of another zone send no heartbeats to this one."""
    state = _large()
    assert fleet_size(state) == 40
    reported = evolve(ready('far'), zone='b1', zone_size=50)
    record_heartbeat(state, reported, _NOW)
    assert fleet_size(state) == 50
    record_heartbeat(state, evolve(reported, sequence=2, zone_size=45), _NOW)
    assert fleet_size(state) == 50
