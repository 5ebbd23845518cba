"""Tests what a daemon knows after it was cut off from the store."""

import pytest
from tests.daemon.edge.follower_harness import (
    CONTACT_S,
    FollowerFleet,
    make_server,
    read_configuration,
    run_fleet,
    sleep_until,
)

from geraniumshelf_daemon.edge.interface import EvacuatedZone, RecordKind

_CUT_S = 5.0
_SEEDS = range(20)


@pytest.mark.parametrize('length_s', [3.0, 12.0])
def test_server_that_left_during_a_cut_is_not_used_after_it(
    length_s: float,
) -> None:
    """Guard against requests to a server that left 5 s ago.

    Only one daemon is cut off. The heartbeats of the others tell it that the
    store was available all the time, so no entry expired because of an outage.
    """
    end_s = _CUT_S + length_s

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_CUT_S + 1)
        fleet.store.put(RecordKind.SERVERS, 's1', None)
        await sleep_until(end_s + CONTACT_S)
        for name, daemon in fleet.daemons.items():
            assert daemon.servers == {'s2'}, name

    cuts = {'n1': ((_CUT_S, end_s),), 'n2': (), 'n3': ()}
    for seed in _SEEDS:
        run_fleet(cuts, seed, scenario)


@pytest.mark.parametrize('length_s', [0.4, 1.2, 2.0, 6.0, 12.0])
def test_changes_are_known_soon_after_a_cut_without_other_daemons(
    length_s: float,
) -> None:
    """Guard against learning of changes only 3.3 s after the cut ends.

    No other daemon is there to announce the changes.
    """
    end_s = _CUT_S + length_s

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_CUT_S + 0.5)
        fleet.store.put(RecordKind.SERVERS, 's1', None)
        fleet.store.put(RecordKind.CONFIGURATION, 'main', read_configuration(2))
        fleet.store.put(RecordKind.EVACUATIONS, 'a1', EvacuatedZone('a1'))
        await sleep_until(end_s + CONTACT_S)
        state = fleet.daemons['n1'].state
        assert state.version == 2
        assert state.placement.evacuated == {'a1'}
        assert set(state.placement.servers) == {'s2'}

    for seed in _SEEDS:
        run_fleet({'n1': ((_CUT_S, end_s),)}, seed, scenario)


def test_servers_stay_in_use_while_lapsed_entries_come_back() -> None:
    """Guard against an empty server list after an outage for all daemons."""
    end_s = _CUT_S + 6.0
    cut = ((_CUT_S, end_s),)

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(end_s - 0.1)
        for name in ('s1', 's2'):
            fleet.store.put(RecordKind.SERVERS, name, None)
        for step in range(1, 17):
            await sleep_until(end_s + step / 10)
            for name, daemon in fleet.daemons.items():
                assert daemon.servers == {'s1', 's2'}, (step, name)
        fleet.store.put(RecordKind.SERVERS, 's2', make_server('s2'))
        await sleep_until(end_s + CONTACT_S)
        for name, daemon in fleet.daemons.items():
            assert daemon.servers == {'s2'}, name

    for seed in _SEEDS:
        run_fleet(dict.fromkeys(('n1', 'n2', 'n3'), cut), seed, scenario)


def test_change_is_known_in_time_after_connections_went_silent() -> None:
    """Guard against late changes after connections were silenced.

    The watches in flight get no response, and a failed watch was retried only
    after a delay.
    """
    silent = ((_CUT_S, _CUT_S + 0.02),)

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_CUT_S + 0.5)
        fleet.store.put(RecordKind.SERVERS, 's1', None)
        await sleep_until(_CUT_S + CONTACT_S)
        for name, daemon in fleet.daemons.items():
            assert daemon.servers == {'s2'}, name

    for seed in range(100):
        run_fleet(dict.fromkeys(('n1', 'n2', 'n3'), silent), seed, scenario)


@pytest.mark.parametrize('length_s', [3.2, 4.0, 6.0, 12.0])
def test_servers_stay_in_use_after_an_outage_within_a_long_watch(
    length_s: float,
) -> None:
    """Guard against an empty server list at daemons whose watches wait 25 s.

    The outage is silent and shorter than the watches, so no watch fails in it.
    """
    end_s = _CUT_S + length_s
    cut = ((_CUT_S, end_s),)

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(end_s - 0.1)
        for name in ('s1', 's2'):
            fleet.store.put(RecordKind.SERVERS, name, None)
        for step in range(1, 19):
            await sleep_until(end_s + step / 10)
            for name, daemon in fleet.daemons.items():
                assert daemon.servers == {'s1', 's2'}, (step, name)
        fleet.store.put(RecordKind.SERVERS, 's2', make_server('s2'))
        await sleep_until(end_s + CONTACT_S)
        for name, daemon in fleet.daemons.items():
            assert daemon.servers == {'s2'}, name

    for seed in _SEEDS:
        run_fleet(
            dict.fromkeys(('n1', 'n2', 'n3'), cut),
            seed,
            scenario,
            has_standbys=True,
        )
