"""Events of the time line and their JSON form."""

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
        process: Instance name and incarnation, or another unique name.
        sequence: Number of the event within the process.
        event: Number of the event, see ``docs/events.md``.
        name: Name of the event.
        detail: One sentence for a person.
        fields: Names and values, without keys.
    """

    clock: int
    process: str
    sequence: int
    event: int
    name: str
    detail: str
    fields: tuple[tuple[str, str], ...] = ()


def event_to_json(event: TimelineEvent) -> dict[str, Any]:
    """Return the form that ``json.dumps`` accepts."""
    return {**asdict(event), 'fields': dict(event.fields)}


def event_from_json(row: object) -> TimelineEvent:
    """Return the event of a decoded JSON object.

    Raises:
        OperatorError: ``WRONG_TYPE`` if it is not an event.
    """
    if not isinstance(row, dict) or row.keys() != _TYPES.keys():
        raise _wrong('not an object with exactly the fields of an event')
    for name, expected in _TYPES.items():
        if type(row[name]) is not expected:
            raise _wrong(f'{name} is not of type {expected.__name__}')
    pairs = tuple(
        (str(field), str(content)) for field, content in row['fields'].items()
    )
    return TimelineEvent(**{**row, 'fields': pairs})


def _wrong(detail: str) -> OperatorError:
    return OperatorError(ResultCode.WRONG_TYPE, f'time line event: {detail}')
