"""Tests how many calls to the store the renewals of watches cost."""

from itertools import pairwise

import pytest
from tests.daemon.edge.fake_store import SentWatch
from tests.daemon.edge.follower_harness import (
    FollowerDaemon,
    FollowerFleet,
    read_configuration,
    run_fleet,
    sleep_until,
)

from geraniumshelf_core.policies import Policies
from geraniumshelf_core.site.model import SiteConfiguration
from geraniumshelf_core.site.routing import build_table
from geraniumshelf_daemon.edge.interface import RecordKind

_LOSS_S = 6.5
_SEEDS = range(20)
_OTHERS = (RecordKind.SERVERS, RecordKind.EVACUATIONS)


def _renewals(daemon: FollowerDaemon) -> list[SentWatch]:
    """Return the watches that did not wait, after the loss."""
    return [
        watch
        for watch in daemon.path.watches
        if watch.sent_at > _LOSS_S and not watch.wait_s
    ]


def _configuration_watches(daemon: FollowerDaemon) -> list[SentWatch]:
    return [
        watch
        for watch in daemon.path.watches
        if watch.kind is RecordKind.CONFIGURATION
    ]


@pytest.mark.parametrize('has_standbys', [False, True])
def test_history_dropped_for_all_watches_costs_no_renewal(
    *, has_standbys: bool
) -> None:
    """Guard against needless calls when every watch gets its 410."""

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        fleet.store.drop_history()
        await sleep_until(_LOSS_S + 1)
        for daemon in fleet.daemons.values():
            assert not _renewals(daemon)
            later = [
                watch.kind
                for watch in daemon.path.watches
                if watch.sent_at > _LOSS_S
            ]
            assert len(later) == len(set(later)) == 3

    for seed in _SEEDS:
        run_fleet(
            {'n1': (), 'n2': ()}, seed, scenario, has_standbys=has_standbys
        )


def test_each_daemon_renews_a_silent_watch_once_and_not_all_at_once() -> None:
    """Guard against a burst of calls of all daemons after a loss."""

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        for daemon in fleet.daemons.values():
            daemon.path.silence(RecordKind.CONFIGURATION)
        fleet.store.drop_history()
        await sleep_until(_LOSS_S + 1)
        renewals = [_renewals(daemon) for daemon in fleet.daemons.values()]
        assert set(map(len, renewals)) == {1}
        times = sorted(watch.sent_at for (watch,) in renewals)
        assert times[0] - _LOSS_S > 0.1
        assert times[-1] - times[0] > 0.1
        assert times[-1] - _LOSS_S < 0.4

    names = [f'n{number:02}' for number in range(12)]
    for seed in _SEEDS:
        run_fleet(dict.fromkeys(names, ()), seed, scenario, has_standbys=True)


def test_repeated_losses_renew_a_watch_at_most_twice_in_a_second() -> None:
    """Guard against calls that multiply while connections break all the time.

    A watch is renewed at most once in 0.5 s, and one that replaces a renewed
    watch waits for changes.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        daemon = fleet.daemons['n1']
        for step in range(60):
            await sleep_until(_LOSS_S + step / 20)
            # A renewal that is silenced would be followed by retries.
            if _configuration_watches(daemon)[-1].wait_s:
                daemon.path.silence(RecordKind.CONFIGURATION)
            fleet.store.drop_history()
        renewals = [
            watch.sent_at
            for watch in _configuration_watches(daemon)
            if watch.sent_at > _LOSS_S and not watch.wait_s
        ]
        assert len(renewals) > 2
        assert len(renewals) <= 6
        for first, second in pairwise(renewals):
            assert second - first >= 0.499

    for seed in _SEEDS:
        run_fleet({'n1': ()}, seed, scenario)


def test_version_that_the_store_does_not_have_costs_few_calls() -> None:
    """Guard against renewals without end for a version that was lost.

    After a restore of the store, another daemon may have a version in force
    that the store lacks, or one that this daemon cannot read.
    """

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(_LOSS_S)
        configuration = read_configuration(5)
        assert isinstance(configuration, SiteConfiguration)
        fleet.daemons['n1'].state.table = build_table(configuration)
        await sleep_until(_LOSS_S + 60)
        daemon = fleet.daemons['n2']
        assert daemon.state.version == 1
        assert len(_renewals(daemon)) <= 2

    for seed in _SEEDS:
        run_fleet({'n1': (), 'n2': ()}, seed, scenario)


def test_policy_disables_the_renewals() -> None:
    """Experiments compare days with and without the renewals."""

    async def scenario(fleet: FollowerFleet) -> None:
        await sleep_until(1)
        daemon = fleet.daemons['n1']
        daemon.state.placement.policies = Policies(renews_lost_watches=False)
        await sleep_until(_LOSS_S)
        daemon.path.silence(RecordKind.CONFIGURATION)
        daemon.path.reset(*_OTHERS)
        await sleep_until(_LOSS_S + 0.5)
        kinds = {watch.kind for watch in _renewals(daemon)}
        assert RecordKind.CONFIGURATION not in kinds

    run_fleet({'n1': ()}, 1, scenario)
