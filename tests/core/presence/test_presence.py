"""Tests the addresses given to callers and the size of the fleet."""

from attrs import evolve

from geraniumshelf_core.presence.commands import (
    expire_silent_peers,
    record_heartbeat,
    register_instance,
)
from geraniumshelf_core.presence.queries import (
    entry_addresses,
    fleet_size,
    heartbeat_interval,
    heartbeat_timeout,
    region_size,
)
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import SECOND_NS

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_CONTACT_AND_SLACK_NS = 6 * SECOND_NS


def heartbeat(
    name: str, zone: str, sequence: int = 1, *, is_ready: bool = True
) -> PresenceHeartbeat:
    return PresenceHeartbeat(
        name,
        1,
        sequence,
        zone,
        f'ip {name}',
        f'{name}:80',
        is_ready,
        next_heartbeat_in=SECOND_NS // 2,
    )


def test_callers_get_the_entries_of_their_zone() -> None:
    """Requests to other zones are slower, and their traffic costs money."""
    state = PresenceState('ip me')
    for name, zone in (('n1', 'a1'), ('n2', 'a1'), ('n3', 'a2')):
        record_heartbeat(state, heartbeat(name, zone), 0)
    own = heartbeat('me', 'b1')
    assert entry_addresses(state, own, 'a1', _REGIONS) == ('n1:80', 'n2:80')


def test_single_entry_of_a_zone_gets_neighbours_beside_it() -> None:
    """With a single address a caller has no fallback when the entry fails."""
    state = PresenceState('ip me')
    for name, zone in (('n1', 'a1'), ('n2', 'a1'), ('n3', 'a2')):
        record_heartbeat(state, heartbeat(name, zone), 0)
    addresses = entry_addresses(state, heartbeat('me', 'b1'), 'a2', _REGIONS)
    assert addresses == ('n1:80', 'n2:80', 'n3:80')


def test_leaving_and_silent_daemons_are_left_out() -> None:
    """Callers must not be sent to a daemon that is gone."""
    state = PresenceState('ip me')
    record_heartbeat(state, heartbeat('n1', 'a1'), 0)
    record_heartbeat(state, heartbeat('n2', 'a1'), 0)
    record_heartbeat(state, heartbeat('n2', 'a1', 2, is_ready=False), 1)
    own = heartbeat('me', 'a1')
    assert entry_addresses(state, own, 'a1', _REGIONS) == ('me:80', 'n1:80')
    limit = heartbeat_timeout(heartbeat('n1', 'a1'))
    assert expire_silent_peers(state, limit) == ()
    assert expire_silent_peers(state, limit + 1) == ('n1',)
    assert entry_addresses(state, own, 'a1', _REGIONS) == ('me:80',)


def test_outdated_heartbeat_changes_nothing() -> None:
    """A delayed datagram must not make a leaving daemon ready again."""
    state = PresenceState('ip me')
    record_heartbeat(state, heartbeat('n1', 'a1', 2, is_ready=False), 5)
    record_heartbeat(state, heartbeat('n1', 'a1', 1), 6)
    assert not state.peers['n1'].heartbeat.is_ready


def test_limits_are_divided_by_all_registered_daemons() -> None:
    """A dead daemon may come back at any time and use its share."""
    state = PresenceState('ip me')
    register_instance(state, 'me', RegisteredInstance('a1'), 'ip me')
    assert fleet_size(state) >= 100
    state.is_complete = True
    register_instance(state, 'n1', RegisteredInstance('a2'), 'ip n1')
    register_instance(state, 'n2', RegisteredInstance('b1'), 'ip n2')
    assert fleet_size(state) == 3
    assert region_size(state, 'a', _REGIONS) == 2


def test_silent_daemon_is_left_out_in_time_at_any_fleet_size() -> None:
    """Longer intervals in a large fleet must not delay the removal too much."""
    state = PresenceState('ip me')
    own = heartbeat('me', 'a1')
    for number in range(500):
        name = f'n{number}'
        register_instance(state, name, RegisteredInstance('a1'), f'ip {number}')
        interval = heartbeat_interval(state, own, name)
        limit = (
            heartbeat_timeout(evolve(own, next_heartbeat_in=interval))
            + interval
        )
        assert limit <= _CONTACT_AND_SLACK_NS + 3 * SECOND_NS
