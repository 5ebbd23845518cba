"""Events of the timeline and their JSON form."""

from collections.abc import Mapping
from typing import Any, Final

from attrs import asdict, frozen

from geraniumshelf_core.errors import OperatorError, ResultCode

_TYPES: Final[Mapping[str, type]] = {
    'clock': int,
    'process': str,
    'sequence': int,
    'event': int,
    'name': str,
    'detail': str,
    'fields': dict,
}


@frozen
class TimelineEvent:
    """One event of one process.

    Attributes:
        clock: Logical clock of the process at the event.
        process: Unique name of the process, such as instance name and
            incarnation.
        sequence: Number of the event within the process.
        event: Number of the kind of event, see ``docs/events.md``.
        name: Name of the kind of event.
        detail: One sentence for people.
        fields: Names and values; they contain no keys of client accounts.
    """

    clock: int
    process: str
    sequence: int
    event: int
    name: str
    detail: str
    fields: tuple[tuple[str, str], ...] = ()


def event_to_json(event: TimelineEvent) -> dict[str, Any]:
    """Return an event in a form that ``json.dumps`` accepts."""
    return {**asdict(event), 'fields': dict(event.fields)}


def event_from_json(row: object) -> TimelineEvent:
    """Return the event that a decoded JSON object describes.

    Raises:
        OperatorError: ``WRONG_TYPE`` if the object is not an event.
    """
    if not isinstance(row, dict) or row.keys() != _TYPES.keys():
        raise _wrong_type('not an object with exactly the fields of an event')
    for name, expected in _TYPES.items():
        if type(row[name]) is not expected:
            raise _wrong_type(
                f'{name} is of type {type(row[name]).__name__}, '
                f'not {expected.__name__}'
            )
    pairs = tuple(
        (str(field), str(content)) for field, content in row['fields'].items()
    )
    return TimelineEvent(**{**row, 'fields': pairs})


def _wrong_type(detail: str) -> OperatorError:
    return OperatorError(ResultCode.WRONG_TYPE, f'timeline event: {detail}')
