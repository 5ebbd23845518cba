"""Functions that read run records."""

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

# Record state, holder of the grant, status, headers, body.
RecordFields = tuple[str, str, int, HeaderPairs, bytes]
# Account, window, suffix, record fields.
Row = tuple[str, int, str, RecordFields]

_RUNNING = 'running'
_LOST = 'lost'
_FINISHED = 'finished'
_FINISHED_WITHOUT_BODY = 'finished-without-body'


def issuer_of(request_id: RequestId) -> Issuer:
    """Return the slot and incarnation that issued an id."""
    return request_id.slot, request_id.incarnation


def issuer_window(adoption: Adoption, now: Nanoseconds) -> int:
    """Return an issuer's current window.

    The window at the time of adoption is advanced by this daemon's clock.
    """
    elapsed_windows = current_window(now) - current_window(adoption.adopted_at)
    return adoption.window + elapsed_windows


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
    """Return the record of a request, ``None`` without one."""
    windows = table.records.get(issuer_of(request_id), {})
    return windows.get(request_id.window, {}).get((account, request_id))


def undecidable_reason(
    table: RunTable, request_id: RequestId, now: Nanoseconds
) -> Unknown | None:
    """Return why this daemon cannot decide about an id.

    Returns:
        The reason as a verdict, ``None`` if it can decide.
    """
    adoption = table.issuers.get(issuer_of(request_id))
    if adoption is None:
        return Unknown('the daemon that issued the request id has restarted')
    window = issuer_window(adoption, now)
    if request_id.window > window:
        return Unknown('the window of the request id has not begun yet')
    if request_id.window <= window - KEPT_WINDOWS:
        return Unknown('the window of the request id has expired')
    return None


def export_rows(table: RunTable, issuer: Issuer) -> tuple[Row, ...]:
    """Return the records of an issuer as rows for messages."""
    windows = table.records.get(issuer, {})
    return tuple(_iterate_rows(windows.values()))


def import_record(row: Row) -> RunRecord:
    """Return the record that a row describes.

    Raises:
        ValueError: If the row has an unknown record state.
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


def _iterate_rows(
    windows: Iterable[dict[RecordKey, RunRecord]],
) -> Iterable[Row]:
    for records in windows:
        for (account, request_id), record in records.items():
            yield (
                account,
                request_id.window,
                request_id.suffix,
                _record_fields(record),
            )


def _record_fields(record: RunRecord) -> RecordFields:
    match record:
        case Running(granted_to):
            return _RUNNING, granted_to, 0, (), b''
        case Lost():
            return _LOST, '', 0, (), b''
        case Finished(status, headers, body):
            state = _FINISHED_WITHOUT_BODY if body is None else _FINISHED
            return state, '', status, headers, body or b''
