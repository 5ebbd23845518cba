"""Comparison of results by their means and deviations over the seeds."""

from collections.abc import Iterator, Mapping
from math import sqrt
from statistics import fmean, stdev
from typing import Any, Final

from attrs import frozen

# A difference of more than this many standard errors counts as significant.
_MIN_STANDARD_ERRORS: Final = 2
_MEASURE_NAMES: Final = (
    'credit',
    'on_time',
    'late',
    'refused',
    'failed',
    'worst',
)


@frozen
class SeedStatistics:
    """Statistics of a measure over all seeds.

    Attributes:
        mean: Mean of the values.
        standard_deviation: Standard deviation, 0 for a single seed.
        seed_count: Number of seeds.
    """

    mean: float
    standard_deviation: float
    seed_count: int


def measure(run: Mapping[str, Any], name: str) -> SeedStatistics:
    """Return the statistics of one measure of a result.

    Args:
        run: Result of a run with all its seeds.
        name: One of ``_MEASURE_NAMES``.
    """
    values = [_value(result, name) for result in run['seeds'].values()]
    standard_deviation = stdev(values) if len(values) > 1 else 0
    return SeedStatistics(fmean(values), standard_deviation, len(values))


def format_result(run: Mapping[str, Any]) -> str:
    """Format the measures of a result as one line."""
    parts = []
    for name in _MEASURE_NAMES:
        value = measure(run, name)
        parts.append(
            f'{name} {value.mean:.3f} ({value.standard_deviation:.3f})'
        )
    return f'{run["experiment"]}: {", ".join(parts)}'


def compare_results(
    first: Mapping[str, Any], second: Mapping[str, Any]
) -> Iterator[str]:
    """Yield lines that show how the second result differs from the first."""
    yield f'{first["experiment"]} against {second["experiment"]}'
    for name in _MEASURE_NAMES:
        before, after = measure(first, name), measure(second, name)
        difference = after.mean - before.mean
        standard_error = sqrt(
            before.standard_deviation**2 / before.seed_count
            + after.standard_deviation**2 / after.seed_count
        )
        is_significant = abs(difference) > _MIN_STANDARD_ERRORS * standard_error
        verdict = (
            'differs' if is_significant and difference else 'within the spread'
        )
        yield (
            f'{name:8} {before.mean:.3f} to {after.mean:.3f}'
            f' ({difference:+.3f}, error {standard_error:.3f}): {verdict}'
        )


def _value(result: Mapping[str, Any], name: str) -> float:
    match name:
        case 'credit':
            return float(result['credit'])
        case 'worst':
            return float(result['worst_windows'])
        case _:
            return float(result['tables']['all'][''][name])
