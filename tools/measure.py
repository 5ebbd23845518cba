"""Run measurements, print a table and write ``build/measure.json``.

The modules in ``tools/measurements`` register their measurements with the
decorator ``measurement``.
"""

import argparse
import importlib
import pkgutil
import sys
from collections.abc import Sequence
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [
    str(_ROOT),
    *(str(source) for source in sorted(_ROOT.glob('packages/*/src'))),
]

from tools import measurements  # noqa: E402
from tools.measurements.registry import REGISTRY, Reading  # noqa: E402
from tools.measurements.report import (  # noqa: E402
    format_table,
    write_readings,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the named measurements, or all, and return the exit status.

    Returns:
        0 if all measurements ran, 1 if one of them failed.
    """
    for module in pkgutil.iter_modules(measurements.__path__):
        importlib.import_module(f'{measurements.__name__}.{module.name}')
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', metavar='NAME')
    parser.add_argument('--list', action='store_true', help='list the names')
    parser.add_argument(
        '--output', type=Path, default=_ROOT / 'build' / 'measure.json'
    )
    options = parser.parse_args(arguments)
    unknown = set(options.names) - REGISTRY.functions.keys()
    if unknown:
        parser.error(
            f'unknown measurement: {", ".join(sorted(unknown))};'
            ' --list shows all names'
        )
    if options.list:
        print('\n'.join(sorted(REGISTRY.functions)))
        return 0
    readings, failures = _run_measurements(
        options.names or sorted(REGISTRY.functions)
    )
    write_readings(readings, failures, options.output)
    print(format_table(readings))
    for name, failure in failures.items():
        print(f'FAILED {name}: {failure}')
    return 1 if failures else 0


def _run_measurements(
    names: Sequence[str],
) -> tuple[list[Reading], dict[str, str]]:
    readings: list[Reading] = []
    failures: dict[str, str] = {}
    for name in names:
        print(f'measuring {name}', file=sys.stderr)
        try:
            readings.extend(REGISTRY.functions[name]())
        except Exception as error:
            failures[name] = f'{type(error).__name__}: {error}'
    return readings, failures


if __name__ == '__main__':
    sys.exit(main())
