"""Guards the catalogues in docs against numbers that nobody can look up."""

from pathlib import Path

from geraniumshelf_core.errors import Ran, ResultCode
from geraniumshelf_daemon.front.refusal import STATUSES
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
    """An event without a row leaves an operator without advice."""
    rows = _rows('events.md')
    assert [(int(row[0]), row[1]) for row in rows] == [
        (event.value, event.name) for event in Event
    ]
    assert all(len(row) == 4 and all(row) for row in rows)


def test_result_codes_are_listed_once_with_advice() -> None:
    """A caller must be able to look up whether a request ran."""
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
    """A metric without a row has no known unit."""
    rows = _rows('metrics.md')
    assert [row[0] for row in rows] == [metric.value for metric in Metric]
    assert all(len(row) == 4 and all(row) for row in rows)


def test_listed_statuses_are_those_sent() -> None:
    """A caller that reads the page must see the status it will get."""
    listed = {int(row[0]): row[2] for row in _rows('errors.md')}
    sent = {code.value: str(status) for code, status in STATUSES.items()}
    assert {number: listed[number] for number in sent} == sent


def test_every_listed_name_is_in_use() -> None:
    """A row for something that never happens misleads operators."""
    catalogues = {'errors.py', 'refusal.py', 'events.py', 'metric_names.py'}
    sources = '\n'.join(
        path.read_text(encoding='utf-8')
        for folder in ('packages', 'platform')
        for path in (_DOCS.parent / folder).rglob('*.py')
        if path.name not in catalogues
    )
    names = [
        *(f'ResultCode.{code.name}' for code in ResultCode),
        *(f'Event.{event.name}' for event in Event),
        *(f'Metric.{metric.name}' for metric in Metric),
    ]
    assert [name for name in names if name not in sources] == []
