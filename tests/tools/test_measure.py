"""Tests of the report of the measurements."""

import json
from pathlib import Path

import pytest
from tools import measure
from tools.measurements.registry import REGISTRY, Reading, measurement
from tools.measurements.report import format_table


@pytest.mark.parametrize(
    ('value', 'is_upper_bound', 'is_met'),
    [(2, True, True), (3, True, False), (3, False, True), (1, False, False)],
)
def test_target_bounds_the_right_side(value, is_upper_bound, is_met) -> None:
    """A missed target is not shown as met, which would hide a regression."""
    reading = Reading(
        'x', value, 's', baseline=4, target=2, is_upper_bound=is_upper_bound
    )
    assert reading.is_met is is_met
    assert reading.ratio == value / 4
    assert ('yes' if is_met else 'no') in format_table([reading])


def test_failed_measurement_is_reported(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """A failed measurement is listed and sets the exit status to 1.

    Otherwise it would be missing from the table without notice.
    """
    monkeypatch.setitem(REGISTRY.functions, 'good', lambda: (_READING,))
    monkeypatch.setitem(REGISTRY.functions, 'bad', lambda: (1 // 0,))
    output = tmp_path / 'build' / 'measure.json'
    assert measure.main(['good', 'bad', '--output', str(output)]) == 1
    document = json.loads(output.read_text(encoding='utf-8'))
    assert [row['name'] for row in document['readings']] == ['x']
    assert document['failures'].keys() == {'bad'}
    assert measure.main(['good', '--output', str(output)]) == 0


def test_names_are_unique() -> None:
    """A second measurement of a name is refused; it would replace the first."""
    with pytest.raises(ValueError, match='twice'):
        measurement(next(iter(REGISTRY.functions)))(lambda: ())


_READING = Reading('x', 1, 's')
