"""Tests which daemons of a zone become entry instances."""

from attrs import evolve

from geraniumshelf_core.presence.commands import (
    expire_silent_peers,
    record_heartbeat,
    register_instance,
    update_request_rate,
)
from geraniumshelf_core.presence.entry_role import EntryRole, decide_role
from geraniumshelf_core.presence.queries import (
    assigned_standbys,
    entry_addresses,
)
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
    RequestRate,
)
from geraniumshelf_core.units import SECOND_NS

_REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b'}
_LARGE_CORES = 2.15
_SMALL_CORES = 0.43
_SETTLED_NS = 3 * SECOND_NS
_HALF_NS = SECOND_NS // 2


def heartbeat(
    name: str, cores: float = _SMALL_CORES, zone: str = 'a1'
) -> PresenceHeartbeat:
    return PresenceHeartbeat(
        name,
        1,
        1,
        zone,
        f'ip {name}',
        f'{name}:80',
        is_ready=False,
        cores=cores,
        next_heartbeat_in=_HALF_NS,
    )


def ready(name: str, cores: float = _LARGE_CORES) -> PresenceHeartbeat:
    return evolve(heartbeat(name, cores), is_ready=True)


def standby(name: str) -> PresenceHeartbeat:
    return evolve(heartbeat(name), is_standby=True)


def zone_state(*heartbeats: PresenceHeartbeat, now: int = 0) -> PresenceState:
    state = PresenceState('ip me', is_complete=True)
    for peer_heartbeat in heartbeats:
        record_heartbeat(state, peer_heartbeat, now)
    return state


def decide(state: PresenceState, now: int = _SETTLED_NS) -> bool | None:
    role = EntryRole(0)
    decide_role(role, state, heartbeat('me'), 0, now)
    return role.is_entry


def test_small_daemon_stands_by_beside_large_entries() -> None:
    """Calls to the store must not grow with the size of the fleet.

    Nor must the number by which limits are divided.
    """
    assert decide(zone_state(ready('l1'), ready('l2'))) is False


def test_daemon_of_a_small_zone_takes_callers() -> None:
    """A zone whose daemons have few cores needs all of them as entries."""
    others = (ready('a', 0.86), ready('b', 0.86))
    assert decide(zone_state(*others)) is True
    assert decide(zone_state(ready('l1'))) is True


def test_first_standby_replaces_a_lost_entry() -> None:
    """Without a replacement, the loss of a second entry leaves none."""
    state = zone_state(ready('l1'), ready('l2'))
    record_heartbeat(state, ready('l1'), _SETTLED_NS)
    record_heartbeat(state, evolve(ready('l1'), sequence=2), _SETTLED_NS)
    expire_silent_peers(state, _SETTLED_NS)
    assert 'l2' not in state.peers
    assert decide(state) is True
    for number in range(5):
        record_heartbeat(state, standby(f'able{number}'), _SETTLED_NS)
    assert decide(state) is False


def test_entry_that_cannot_load_is_replaced() -> None:
    """A daemon that cannot load from the store must not remain an entry."""
    state = zone_state(ready('l1'), heartbeat('l2', _LARGE_CORES))
    assert decide(state, SECOND_NS + _SETTLED_NS) is True
    fresh = zone_state(
        ready('l1'), heartbeat('l2', _LARGE_CORES), now=_SETTLED_NS
    )
    assert decide(fresh, SECOND_NS + _SETTLED_NS) is False


def test_new_small_daemon_listens_before_it_decides() -> None:
    """Daemons must not all load everything at the first start of a fleet."""
    state = PresenceState('ip me', is_complete=True)
    assert decide(state, SECOND_NS) is None
    assert decide(state) is True


def test_restarted_daemon_decides_by_the_registry() -> None:
    """After a power failure entries are needed before heartbeats arrive."""
    state = PresenceState('ip me', is_complete=True)
    for name in ('l1', 'l2'):
        register_instance(
            state, name, RegisteredInstance('a1', _LARGE_CORES), f'ip {name}'
        )
    role = EntryRole(0, was_registered=True)
    decide_role(role, state, heartbeat('me'), 0, _HALF_NS)
    assert role.is_entry is False
    first = EntryRole(0, was_registered=True)
    decide_role(first, state, heartbeat('l1', _LARGE_CORES), 0, _HALF_NS)
    assert first.is_entry is True


def test_entry_that_is_not_needed_goes_on_for_a_while() -> None:
    """Callers use a cached address for some time after it is removed."""
    role = EntryRole(0)
    state = zone_state(ready('l1'))
    decide_role(role, state, heartbeat('me'), 0, _SETTLED_NS)
    record_heartbeat(state, ready('l2'), _SETTLED_NS)
    decide_role(role, state, heartbeat('me'), 0, 20 * SECOND_NS)
    assert role.is_entry is True
    decide_role(role, state, heartbeat('me'), 0, 40 * SECOND_NS)
    assert role.is_entry is False


def test_asked_standby_becomes_an_entry() -> None:
    """A caller with an outdated address must not get only refusals."""
    role = EntryRole(0)
    state = zone_state(ready('l1'), ready('l2'))
    decide_role(role, state, heartbeat('me'), 0, _SETTLED_NS)
    assert role.is_entry is False
    decide_role(role, state, heartbeat('me'), _SETTLED_NS, _SETTLED_NS)
    assert role.is_entry is True


def test_directory_names_the_larger_daemons_only() -> None:
    """A small daemon that is no longer needed must not keep its callers."""
    state = zone_state(ready('l1'), ready('l2'), ready('s1', _SMALL_CORES))
    addresses = entry_addresses(
        state, heartbeat('me', zone='b1'), 'a1', _REGIONS
    )
    assert addresses == ('l1:80', 'l2:80')


def test_each_standby_is_asked_by_one_entry() -> None:
    """A share that two entries request in turn would be of use to neither."""
    others = [standby(f's{number}') for number in range(5)]
    assigned: list[str] = []
    for own, other in (('l1', 'l2'), ('l2', 'l1')):
        state = zone_state(ready(other), *others)
        assigned += [peer.name for peer in assigned_standbys(state, ready(own))]
    assert sorted(assigned) == ['s0', 's1', 's2', 's3', 's4']


def test_daemon_that_is_not_ready_asks_no_standby() -> None:
    """Shares would stay unused at a daemon that serves no callers."""
    state = zone_state(ready('l1'), standby('s1'))
    assert not assigned_standbys(state, heartbeat('l2', _LARGE_CORES))


def test_standby_joins_when_the_entries_are_busy() -> None:
    """Entries of a busy zone must not be overloaded while it has standbys."""
    busy = [evolve(ready(name), rate=400.0) for name in ('l1', 'l2')]
    assert decide(zone_state(*busy)) is True
    moderate = [evolve(ready(name), rate=200.0) for name in ('l1', 'l2')]
    assert decide(zone_state(*moderate)) is False


def test_directory_names_more_daemons_when_the_entries_are_busy() -> None:
    """A standby that has become an entry must get callers."""
    busy = [evolve(ready(name), rate=400.0) for name in ('l1', 'l2')]
    state = zone_state(*busy, ready('s1', _SMALL_CORES))
    addresses = entry_addresses(
        state, heartbeat('me', zone='b1'), 'a1', _REGIONS
    )
    assert addresses == ('l1:80', 'l2:80', 's1:80')


def test_rate_is_smoothed() -> None:
    """The entries must not change with each burst of a single caller."""
    rate = RequestRate()
    update_request_rate(rate, 100, SECOND_NS // 4)
    assert 0 < rate.per_s <= 20
    for step in range(2, 200):
        update_request_rate(rate, 100 * step, step * SECOND_NS // 4)
    assert 390 < rate.per_s < 410
