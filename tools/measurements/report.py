"""Table and JSON file with the results of measurements."""

import json
import platform
from collections.abc import Iterable
from pathlib import Path

from attrs import asdict

from tools.measurements.registry import Reading

_HEADINGS = ('name', 'value', 'baseline', 'ratio', 'target', 'met', 'unit')


def write_readings(
    readings: Iterable[Reading],
    failures: dict[str, str],
    path: Path,
) -> None:
    """Write all readings and failed measurements to a JSON file.

    Args:
        readings: Results of the measurements.
        failures: Texts of errors, by name of the failed measurement.
        path: File to write; missing folders are created.
    """
    document = {
        'python': platform.python_version(),
        'readings': [
            {
                **asdict(reading),
                'ratio': reading.ratio,
                'is_met': reading.is_met,
            }
            for reading in readings
        ],
        'failures': failures,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(f'{json.dumps(document, indent=2)}\n', encoding='utf-8')


def format_table(readings: Iterable[Reading]) -> str:
    """Format a table with one line for each reading."""
    rows = [_HEADINGS, *(_format_row(reading) for reading in readings)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*rows, strict=True)
    ]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    )


def _format_row(reading: Reading) -> tuple[str, ...]:
    is_met_text = {None: '-', True: 'yes', False: 'no'}[reading.is_met]
    bound = '<=' if reading.is_upper_bound else '>='
    target = reading.target
    return (
        reading.name,
        _format_number(reading.value),
        _format_number(reading.baseline),
        _format_number(reading.ratio),
        '-' if target is None else f'{bound} {_format_number(target)}',
        is_met_text,
        reading.unit,
    )


def _format_number(value: float | None) -> str:
    return '-' if value is None else f'{value:,.4g}'
