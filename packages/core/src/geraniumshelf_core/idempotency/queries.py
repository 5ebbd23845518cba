"""Reads run records."""

from collections.abc import Iterable

from geraniumshelf_core.idempotency.request_id import (
    RequestId,
    current_window,
)
from geraniumshelf_core.idempotency.state import (
    KEPT_WINDOWS,
    Adoption,
    Finished,
    HeaderPairs,
    Issuer,
    Lost,
    RecordKey,
    Running,
    RunRecord,
    RunTable,
    Unknown,
)
from geraniumshelf_core.units import Nanoseconds

# State, granted to, status, headers, body.
RecordFields = tuple[str, str, int, HeaderPairs, bytes]
# Account, window, suffix, and the fields of the record.
Row = tuple[str, int, str, RecordFields]

_RUNNING = 'running'
_LOST = 'lost'
_FINISHED = 'finished'
_FINISHED_WITHOUT_BODY = 'finished-without-body'


def issuer_of(request_id: RequestId) -> Issuer:
    """Return the slot and incarnation that issued an id."""
    return request_id.slot, request_id.incarnation


def issuer_window(adoption: Adoption, now: Nanoseconds) -> int:
    """Return an issuer's current window, carried on by this clock."""
    passed = current_window(now) - current_window(adoption.since)
    return adoption.window + passed


def record_count(table: RunTable) -> int:
    """Return the number of records."""
    return sum(
        len(records)
        for windows in table.records.values()
        for records in windows.values()
    )


def find_record(
    table: RunTable, account: str, request_id: RequestId
) -> RunRecord | None:
    """Return the record of a request."""
    windows = table.records.get(issuer_of(request_id), {})
    return windows.get(request_id.window, {}).get((account, request_id))


def undecidable(
    table: RunTable, request_id: RequestId, now: Nanoseconds
) -> Unknown | None:
    """Return why nothing can be said about an id, ``None`` if it can."""
    adoption = table.issuers.get(issuer_of(request_id))
    if adoption is None:
        return Unknown('the daemon that issued the id has restarted')
    window = issuer_window(adoption, now)
    if request_id.window > window:
        return Unknown('the id names a window that has not begun')
    if request_id.window <= window - KEPT_WINDOWS:
        return Unknown('the window of the id has expired')
    return None


def export_rows(table: RunTable, issuer: Issuer) -> tuple[Row, ...]:
    """Return the records of an issuer in a form for messages."""
    windows = table.records.get(issuer, {})
    return tuple(_rows(windows.values()))


def import_record(row: Row) -> RunRecord:
    """Return the record of a row.

    Raises:
        ValueError: If the row names no state of a record.
    """
    state, granted_to, status, headers, body = row[-1]
    match state:
        case 'running':
            return Running(granted_to)
        case 'lost':
            return Lost()
        case 'finished':
            return Finished(status, headers, body)
        case 'finished-without-body':
            return Finished(status, headers)
        case _:
            raise ValueError(f'unknown record state {state!r}')


def _rows(windows: Iterable[dict[RecordKey, RunRecord]]) -> Iterable[Row]:
    for records in windows:
        for (account, request_id), record in records.items():
            yield (
                account,
                request_id.window,
                request_id.suffix,
                _fields(record),
            )


def _fields(record: RunRecord) -> RecordFields:
    match record:
        case Running(granted_to):
            return _RUNNING, granted_to, 0, (), b''
        case Lost():
            return _LOST, '', 0, (), b''
        case Finished(status, headers, body):
            state = _FINISHED_WITHOUT_BODY if body is None else _FINISHED
            return state, '', status, headers, body or b''
