"""Run experiments and compare their results.

``run`` simulates patterns or experiment files with several seeds and writes a
JSON file and an HTML report for each. ``compare`` shows which differences
between two results exceed the spread over the seeds.
"""

import argparse
import json
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, Final

from tqdm import tqdm

from tools.emulator.comparison import compare_results, format_result
from tools.emulator.experiment import (
    PATTERNS,
    Experiment,
    ExperimentError,
    find_pattern,
    override_policies,
    read_experiment,
)
from tools.emulator.simulation import Simulation

_EXIT_USAGE: Final = 2
_DEFAULT_SEED_COUNT: Final = 10
_DEFAULT_JOB_COUNT: Final = 3


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command and return the exit status.

    Returns:
        0 on success, 2 if an argument or a file is invalid.
    """
    options = _parser().parse_args(arguments)
    try:
        match options.command:
            case 'list':
                for path in sorted(PATTERNS.glob('*.toml')):
                    title = path.read_text(encoding='utf-8').split('\n')[0]
                    print(f'{path.stem:22} {title.removeprefix("# ")}')
            case 'run':
                _run(options)
            case _:
                _compare(options)
    except (ExperimentError, OSError, ValueError) as error:
        sys.stderr.write(f'emulator: {error}\n')
        return _EXIT_USAGE
    return 0


def run_seed(experiment: Experiment, seed: int) -> dict[str, Any]:
    """Run an experiment with one seed and return its results."""
    return Simulation(experiment, seed).run()


def _run(options: argparse.Namespace) -> None:
    from tools.emulator.report import write_report

    changes = dict(_parse_assignment(text) for text in options.set)
    folder = Path(options.out)
    folder.mkdir(parents=True, exist_ok=True)
    for name in options.experiments:
        experiment = override_policies(
            read_experiment(find_pattern(name)), changes
        )
        seeds = range(1, options.seeds + 1)
        with ProcessPoolExecutor(options.jobs) as pool:
            seed_results = pool.map(run_seed, [experiment] * len(seeds), seeds)
            results = list(
                tqdm(
                    seed_results,
                    total=len(seeds),
                    desc=experiment.name,
                    disable=None,
                )
            )
        result = {
            'experiment': experiment.name,
            'policies': changes,
            'seeds': dict(zip(map(str, seeds), results, strict=True)),
        }
        path = folder / f'{experiment.name}.json'
        path.write_text(json.dumps(result, indent=1), encoding='utf-8')
        write_report(result, folder / f'{experiment.name}.html')
        print(format_result(result))


def _compare(options: argparse.Namespace) -> None:
    first, second = map(_read_result, (options.first, options.second))
    for line in compare_results(first, second):
        print(line)


def _read_result(name: str) -> dict[str, Any]:
    result = json.loads(Path(name).read_text(encoding='utf-8'))
    if not isinstance(result, dict) or 'seeds' not in result:
        raise ExperimentError(
            f'{name}: not a result file of the emulator;'
            ' expected a JSON object with the key "seeds"'
        )
    return result


def _parse_assignment(text: str) -> tuple[str, str]:
    name, separator, value = text.partition('=')
    if not separator:
        raise ExperimentError(f'--set {text}: must have the form NAME=VALUE')
    return name, value


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='python -m tools.emulator', description=__doc__
    )
    commands = parser.add_subparsers(dest='command', required=True)
    commands.add_parser('list', help='list the patterns')
    run = commands.add_parser('run', help='run experiments')
    run.add_argument(
        'experiments', nargs='+', help='names of patterns or experiment files'
    )
    run.add_argument('--seeds', type=int, default=_DEFAULT_SEED_COUNT)
    run.add_argument(
        '--jobs', type=int, default=_DEFAULT_JOB_COUNT, help='processes'
    )
    run.add_argument(
        '--set',
        action='append',
        default=[],
        metavar='NAME=VALUE',
        help='override a constant of the policies; may be repeated',
    )
    run.add_argument(
        '--out', default='build/emulator', help='folder for the results'
    )
    compare = commands.add_parser('compare', help='compare two JSON results')
    compare.add_argument('first')
    compare.add_argument('second')
    return parser


if __name__ == '__main__':
    sys.exit(main())
