"""Tests that the pages in docs list all events, result codes and metrics."""

from pathlib import Path

from geraniumshelf_core.errors import Ran, ResultCode
from geraniumshelf_daemon.front.refusal import STATUS_BY_RESULT_CODE
from geraniumshelf_daemon.observability.events import Event
from geraniumshelf_daemon.observability.metric_names import Metric

_DOCS = Path(__file__).parents[3] / 'docs'


def _rows(name: str) -> list[list[str]]:
    lines = (_DOCS / name).read_text(encoding='utf-8').splitlines()
    table = [line for line in lines if line.startswith('|')]
    return [
        [cell.strip() for cell in line.strip('|').split('|')]
        for line in table[2:]
    ]


def test_events_are_listed_once_with_advice() -> None:
    """Operators look up in the page what to do about an event."""
    rows = _rows('events.md')
    assert [(int(row[0]), row[1]) for row in rows] == [
        (event.value, event.name) for event in Event
    ]
    assert all(len(row) == 4 and all(row) for row in rows)


def test_result_codes_are_listed_once_with_advice() -> None:
    """Callers look up in the page whether a refused request has run."""
    rows = _rows('errors.md')
    assert [(int(row[0]), row[1]) for row in rows] == [
        (code.value, code.name) for code in ResultCode
    ]
    assert all(len(row) == 6 and all(row) for row in rows)
    allowed = {ran.value for ran in Ran}
    for row in rows:
        is_caller_code = row[0].startswith('2')
        assert (row[3] in allowed) == is_caller_code
        assert row[2].isdecimal() or not is_caller_code


def test_metrics_are_listed_once() -> None:
    """Operators look up the unit of a metric in the page."""
    rows = _rows('metrics.md')
    assert [row[0] for row in rows] == [metric.value for metric in Metric]
    assert all(len(row) == 4 and all(row) for row in rows)


def test_listed_statuses_are_those_sent() -> None:
    """The page must show the HTTP status that callers receive."""
    listed = {int(row[0]): row[2] for row in _rows('errors.md')}
    sent = {
        code.value: str(status)
        for code, status in STATUS_BY_RESULT_CODE.items()
    }
    assert {number: listed[number] for number in sent} == sent


def test_every_listed_name_is_in_use() -> None:
    """A row for a code that is never used would mislead operators."""
    defining_files = {'errors.py', 'refusal.py', 'events.py', 'metric_names.py'}
    sources = '\n'.join(
        path.read_text(encoding='utf-8')
        for folder in ('packages', 'platform')
        for path in (_DOCS.parent / folder).rglob('*.py')
        if path.name not in defining_files
    )
    names = [
        *(f'ResultCode.{code.name}' for code in ResultCode),
        *(f'Event.{event.name}' for event in Event),
        *(f'Metric.{metric.name}' for metric in Metric),
    ]
    assert [name for name in names if name not in sources] == []
