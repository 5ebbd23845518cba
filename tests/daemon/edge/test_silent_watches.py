"""Tests changes that a silent watch does not report."""

from functools import partial

import pytest
from attrs import evolve
from tests.daemon.edge.follower_harness import (
    BOUNDS,
    FollowerFleet,
    read_configuration,
    sleep_until,
)
from tests.daemon.edge.follower_harness import run_fleet as run_any_fleet

from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.edge.interface import EvacuatedZone, RecordKind

# The watches of 3 s have just been renewed then.
_LOSS_S = 6.5
# A configuration must be in force within this time of the store's response to
# its writer.
_APPLY_S = 3.0
# A reported configuration is in force within this time: two ticks of 0.25 s, a
# delay of 1 s that is looked at in each tick, and the calls.
_MAX_REPORTED_S = 1.9
_SEEDS = range(20)
_OTHERS = (RecordKind.SERVERS, RecordKind.EVACUATIONS)
_ALL = (RecordKind.CONFIGURATION, *_OTHERS)

# Watches wait 3 s at a daemon that renews them early, and 25 s at others.
run_fleet = partial(
    run_any_fleet, bounds=evolve(BOUNDS, contact_time=4 * SECOND_NS)
)


def _write_configuration(fleet: FollowerFleet) -> None:
    fleet.store.put(RecordKind.CONFIGURATION, 'main', read_configuration(2))


def _check_versions(fleet: FollowerFleet) -> None:
    versions = {
        name: daemon.state.version for name, daemon in fleet.daemons.items()
    }
    assert versions == dict.fromkeys(fleet.daemons, 2)


@pytest.mark.parametrize('delay_s', [0, 0.6])
def test_silent_watch_of_3_s_is_renewed_when_the_history_is_dropped(
    delay_s: float,
) -> None:
    """Guard against an old configuration 4.2 s after a change.

    The store drops its history. The watch of the configuration stays silent,
    and the others get 410.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        fleet.daemons['n1'].path.silence(RecordKind.CONFIGURATION)
        if not delay_s:
            _write_configuration(fleet)
        fleet.store.drop_history()
        await sleep_until(_LOSS_S + delay_s)
        if delay_s:
            _write_configuration(fleet)
        await sleep_until(_LOSS_S + delay_s + _APPLY_S)
        _check_versions(fleet)

    for seed in _SEEDS:
        run_fleet({'n1': ()}, seed, scenario)


def test_silent_watch_of_25_s_is_renewed_when_the_history_is_dropped() -> None:
    """Guard against an old configuration until a watch of 25 s ends.

    The zone lead learns the change from a list.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        fleet.daemons['n2'].path.silence(RecordKind.CONFIGURATION)
        _write_configuration(fleet)
        fleet.store.drop_history()
        # Too early for a renewal because of a heartbeat.
        await sleep_until(_LOSS_S + 0.5)
        _check_versions(fleet)

    for seed in _SEEDS:
        run_fleet({'n1': (), 'n2': ()}, seed, scenario, has_standbys=True)


@pytest.mark.parametrize('has_standbys', [False, True])
def test_silent_watch_is_renewed_when_the_other_connections_are_reset(
    *, has_standbys: bool
) -> None:
    """Guard against a connection that is lost without a trace.

    The connections of the other watches are reset.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        for daemon in fleet.daemons.values():
            daemon.path.silence(RecordKind.CONFIGURATION)
            daemon.path.reset(*_OTHERS)
        _write_configuration(fleet)
        await sleep_until(_LOSS_S + 0.5)
        _check_versions(fleet)

    for seed in _SEEDS:
        run_fleet(
            {'n1': (), 'n2': ()}, seed, scenario, has_standbys=has_standbys
        )


def test_change_learnt_from_a_list_reaches_a_daemon_with_silent_watches() -> (
    None
):
    """Guard against changes from a list that no heartbeat reports.

    The lead learns a new configuration and a new evacuation from lists, and
    all watches of the other daemon are silent.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        fleet.daemons['n2'].path.silence(*_ALL)
        _write_configuration(fleet)
        fleet.store.put(RecordKind.EVACUATIONS, 'a1', EvacuatedZone('a1'))
        fleet.store.drop_history()
        await sleep_until(_LOSS_S + _APPLY_S)
        _check_versions(fleet)
        for name, daemon in fleet.daemons.items():
            assert daemon.state.placement.evacuated == {'a1'}, name

    for seed in _SEEDS:
        run_fleet({'n1': (), 'n2': ()}, seed, scenario, has_standbys=True)


def test_removal_learnt_from_a_list_reaches_a_daemon_with_silent_watches() -> (
    None
):
    """Guard against removals that a list shows only by what is missing.

    The revisions of the objects in a list do not tell of a removal.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S - 1)
        fleet.store.put(RecordKind.EVACUATIONS, 'a1', EvacuatedZone('a1'))
        await sleep_until(_LOSS_S + 2)
        fleet.daemons['n2'].path.silence(*_ALL)
        fleet.store.put(RecordKind.SERVERS, 's1', None)
        fleet.store.put(RecordKind.EVACUATIONS, 'a1', None)
        fleet.store.drop_history()
        await sleep_until(_LOSS_S + 2 + _APPLY_S)
        for name, daemon in fleet.daemons.items():
            assert daemon.servers == {'s2'}, name
            assert not daemon.state.placement.evacuated, name

    for seed in _SEEDS:
        run_fleet({'n1': (), 'n2': ()}, seed, scenario, has_standbys=True)


@pytest.mark.parametrize('delay_s', [0, 0.3, 0.6, 0.9, 1.2])
def test_configuration_reaches_a_zone_whose_watches_are_silent(
    delay_s: float,
) -> None:
    """Guard against waiting for the own watch while other zones report more.

    The only entry of a zone gets no reports from its own zone, and heartbeats
    between zones are 1.5 s apart.
    """
    loss_s = _LOSS_S + delay_s

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(loss_s)
        fleet.daemons['n2'].path.silence(*_ALL)
        _write_configuration(fleet)
        await sleep_until(loss_s + _MAX_REPORTED_S)
        _check_versions(fleet)

    for seed in _SEEDS:
        run_fleet(
            {'n1': (), 'n2': ()},
            seed,
            scenario,
            zones={'n2': 'b1'},
            has_standbys=True,
        )
