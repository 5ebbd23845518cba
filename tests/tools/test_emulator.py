"""Tests of the emulator, with shortened runs of its load patterns."""

from pathlib import Path
from typing import Any

import pytest
from attrs import evolve
from tools.emulator.__main__ import main
from tools.emulator.comparison import compare_results, measure
from tools.emulator.experiment import (
    PATTERNS,
    ExperimentError,
    find_pattern,
    override_policies,
    read_experiment,
)
from tools.emulator.outcome_statistics import OUTCOMES
from tools.emulator.simulation import Simulation

_NAMES = sorted(path.stem for path in PATTERNS.glob('*.toml'))
# Policies as they were before the changes for overload.
_FORMER_POLICIES = {
    'spills_by_load': 'true',
    'tells_warm_by_time': 'false',
    'crowded_above': '99',
}
# Requirement: after an event, the fraction of requests on time is at least this
# fraction of its value before the event.
_MIN_RECOVERED_FRACTION = 0.9
# Requirement: time until then after the return of the servers.
_MAX_RECOVERY_S = 5


def _simulate(
    name: str, seed: int = 1, changes: dict[str, str] | None = None
) -> dict[str, Any]:
    experiment = read_experiment(find_pattern(name))
    return Simulation(override_policies(experiment, changes or {}), seed).run()


def _on_time_fraction(result: dict[str, Any], begin: int, end: int) -> float:
    """Return the fraction of requests on time in a range of windows."""
    windows = [
        shares
        for at, shares in result['tables']['window'].items()
        if begin <= int(at) < end
    ]
    total = sum(shares['asked'] for shares in windows)
    return sum(one['on_time'] * one['asked'] for one in windows) / total


@pytest.mark.parametrize('name', _NAMES)
def test_each_pattern_accounts_for_all_requests(name: str) -> None:
    """Every request has an outcome, so that no lost request is missed."""
    experiment = evolve(read_experiment(find_pattern(name)), seconds=3)
    result = Simulation(experiment, 1).run()
    shares = result['tables']['all']['']
    assert sum(shares[outcome] for outcome in OUTCOMES) == pytest.approx(1)
    assert shares['asked'] > 10
    assert 0 <= result['credit'] <= 1
    kinds = result['tables']['kind'].values()
    assert sum(kind['asked'] for kind in kinds) == shares['asked']


def test_same_seed_gives_the_same_result() -> None:
    """Runs with one seed are equal, so that policies can be compared."""
    experiment = evolve(read_experiment(find_pattern('demand_60')), seconds=3)
    first = Simulation(experiment, 7).run()
    assert Simulation(experiment, 7).run() == first
    assert Simulation(experiment, 8).run() != first


@pytest.mark.parametrize(
    ('name', 'end'), [('two_zones_evacuated', 36), ('third_leaves', 30)]
)
def test_crowded_fleet_recovers_when_its_servers_are_back(
    name: str, end: int
) -> None:
    """The fleet recovers at the demand that it sustained before the event.

    With the former policies most runs stayed cold after the return of the
    servers, and the fleet did not recover.
    """
    result = _simulate(name)
    before = _on_time_fraction(result, 6, 8)
    assert (
        _on_time_fraction(result, end - 6, end)
        >= _MIN_RECOVERED_FRACTION * before
    )
    former = _simulate(name, changes=_FORMER_POLICIES)
    before = _on_time_fraction(former, 6, 8)
    assert (
        _on_time_fraction(former, end - 6, end)
        < _MIN_RECOVERED_FRACTION * before
    )


def test_crowded_fleet_recovers_within_the_stated_time() -> None:
    """Requests are on time again soon after evacuated zones return."""
    returned_at = 16
    results = [_simulate('two_zones_evacuated', seed) for seed in (1, 2, 3)]
    for result in results:
        before = _on_time_fraction(result, 6, 8)
        begin = returned_at + _MAX_RECOVERY_S
        after = _on_time_fraction(result, begin, begin + 3)
        assert after >= _MIN_RECOVERED_FRACTION * before


def test_steady_demand_below_the_slots_is_on_time() -> None:
    """Each window earns at least 0.6 of its credit, as required.

    Guards against objects that move between servers without need: each move
    makes the object cold on its new server.
    """
    result = _simulate('demand_60')
    curve = {int(at): share for at, share in result['curve'].items()}
    assert min(share for at, share in curve.items() if at >= 6) >= 0.6


def test_odd_experiments_are_refused_with_the_key(tmp_path: Path) -> None:
    """Wrong keys and values are refused instead of being ignored."""
    path = tmp_path / 'odd.toml'
    text = find_pattern('demand_60').read_text(encoding='utf-8')
    path.write_text(f'colour = 1\n{text}', encoding='utf-8')
    with pytest.raises(ExperimentError, match='colour'):
        read_experiment(path)
    path.write_text(text.replace('"look"', '"lock"', 1), encoding='utf-8')
    with pytest.raises(ExperimentError, match='no service look'):
        read_experiment(path)
    experiment = read_experiment(find_pattern('demand_60'))
    with pytest.raises(ExperimentError, match='late_part'):
        override_policies(experiment, {'patience': '1'})
    with pytest.raises(ExperimentError, match='true or false'):
        override_policies(experiment, {'spills_by_load': '1'})


def test_results_are_written_and_compared(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """``run`` writes its files and ``compare`` finds two equal results."""
    path = tmp_path / 'short.toml'
    text = find_pattern('demand_60').read_text(encoding='utf-8')
    path.write_text(
        text.replace('seconds = 30', 'seconds = 2'), encoding='utf-8'
    )
    out = str(tmp_path)
    run = ['run', str(path), '--seeds', '2', '--jobs', '1', '--out', out]
    assert main(run) == 0
    found = str(tmp_path / 'demand_60.json')
    assert (tmp_path / 'demand_60.html').stat().st_size > 10_000
    assert main(['compare', found, found]) == 0
    assert 'within the spread' in capsys.readouterr().out
    assert main(['run', str(tmp_path / 'none.toml')]) == 2
    assert main([*run, '--set', 'late_part']) == 2


def test_comparison_tells_a_clear_difference() -> None:
    """A difference is reported only beyond the deviation over the seeds."""

    def result(credit: float) -> dict[str, Any]:
        shares = dict.fromkeys(OUTCOMES, 0.2)
        return {
            'credit': credit,
            'worst_windows': 0.1,
            'tables': {'all': {'': shares}},
        }

    def found(*credits: float) -> dict[str, Any]:
        seeds = {str(at): result(one) for at, one in enumerate(credits)}
        return {'experiment': 'x', 'policies': {}, 'seeds': seeds}

    low, high = found(0.5, 0.52, 0.51), found(0.7, 0.72, 0.71)
    assert measure(low, 'credit').mean == pytest.approx(0.51)
    lines = '\n'.join(compare_results(low, high))
    assert 'differs' in lines
    assert 'differs' not in '\n'.join(compare_results(low, low))
