"""Decides about requests and keeps the records of it."""

from collections.abc import Iterable

from attrs import evolve

from geraniumshelf_core.idempotency.queries import (
    Row,
    find_record,
    import_record,
    issuer_of,
    issuer_window,
    record_count,
    undecidable,
)
from geraniumshelf_core.idempotency.request_id import (
    RequestId,
    current_window,
)
from geraniumshelf_core.idempotency.state import (
    KEPT_WINDOWS,
    MAX_KEPT_BODY_BYTES,
    Adoption,
    Done,
    Finished,
    Full,
    InProgress,
    Issuer,
    Lost,
    Moved,
    NotRun,
    Run,
    Running,
    RunOutcome,
    RunRecord,
    RunTable,
    Unknown,
    Verdict,
)
from geraniumshelf_core.units import Nanoseconds


def become_issuer(table: RunTable, issuer: Issuer, now: Nanoseconds) -> None:
    """Begin to decide for ids that this daemon issues itself."""
    table.issuers[issuer] = Adoption(current_window(now), now)


def decide(
    table: RunTable,
    account: str,
    request_id: RequestId,
    asker: str,
    now: Nanoseconds,
) -> Verdict:
    """Return the verdict about a request; ``Run`` is given once only."""
    issuer = issuer_of(request_id)
    successor = table.moved.get(issuer)
    if successor is not None:
        return _verdict_after_move(successor)
    expire(table, now)
    reason = undecidable(table, request_id, now)
    if reason is not None:
        return reason
    record = find_record(table, account, request_id)
    if record is not None:
        return _verdict_of(record)
    if record_count(table) >= table.limit:
        return Full()
    _store(table, account, request_id, Running(asker))
    return Run()


def finish(
    table: RunTable,
    account: str,
    request_id: RequestId,
    asker: str,
    outcome: RunOutcome,
) -> bool:
    """Record how a granted run ended; return whether it was granted.

    Only the instance that holds the grant may end it, and only once.
    """
    if find_record(table, account, request_id) != Running(asker):
        return False
    match outcome:
        case NotRun():
            _drop(table, account, request_id)
        case Lost():
            _store(table, account, request_id, outcome)
        case Finished():
            _store(table, account, request_id, _bounded(table, outcome))
    return True


def expire(table: RunTable, now: Nanoseconds) -> None:
    """Forget records whose window is answered as expired from now on."""
    for issuer in table.issuers:
        adoption = table.issuers[issuer]
        oldest = issuer_window(adoption, now) - KEPT_WINDOWS
        windows = table.records.get(issuer, {})
        for window in _until(windows, oldest):
            for record in windows.pop(window).values():
                table.kept_bytes -= _size(record)


def begin_handover(table: RunTable, issuer: Issuer) -> None:
    """Stop deciding for an issuer, for good.

    Two deciders could both grant a run, so the old one stops first and never
    starts again, even if the handover fails.
    """
    table.moved.setdefault(issuer, '')


def complete_handover(table: RunTable, issuer: Issuer, instance: str) -> None:
    """Note who decides for an issuer now."""
    table.moved[issuer] = instance


def adopt(
    table: RunTable,
    issuer: Issuer,
    window: int,
    rows: Iterable[Row],
    now: Nanoseconds,
) -> None:
    """Take over an issuer with all its records, once.

    Raises:
        ValueError: If a row is malformed; nothing was adopted.
    """
    if issuer in table.issuers:
        return
    records = [
        (row[0], RequestId(*issuer, row[1], row[2]), import_record(row))
        for row in rows
    ]
    for account, request_id, record in records:
        _store(table, account, request_id, record)
    table.issuers[issuer] = Adoption(window, now)


def _until(windows: Iterable[int], last: int) -> tuple[int, ...]:
    return tuple(window for window in windows if window <= last)


def _verdict_after_move(instance: str) -> Verdict:
    if instance:
        return Moved(instance)
    return Unknown('the records are being handed over')


def _verdict_of(record: RunRecord) -> Verdict:
    match record:
        case Running():
            return InProgress()
        case Lost():
            return Unknown('the outcome of its run was lost')
        case Finished():
            return Done(record)


def _bounded(table: RunTable, answer: Finished) -> Finished:
    size = _size(answer)
    has_room = table.kept_bytes + size <= table.byte_limit
    if size <= MAX_KEPT_BODY_BYTES and has_room:
        return answer
    return evolve(answer, body=None, headers=())


def _store(
    table: RunTable, account: str, request_id: RequestId, record: RunRecord
) -> None:
    _drop(table, account, request_id)
    windows = table.records.setdefault(issuer_of(request_id), {})
    records = windows.setdefault(request_id.window, {})
    records[(account, request_id)] = record
    table.kept_bytes += _size(record)


def _drop(table: RunTable, account: str, request_id: RequestId) -> None:
    windows = table.records.get(issuer_of(request_id), {})
    records = windows.get(request_id.window, {})
    old = records.pop((account, request_id), None)
    if old is not None:
        table.kept_bytes -= _size(old)


def _size(record: RunRecord) -> int:
    if isinstance(record, Finished) and record.body is not None:
        return len(record.body)
    return 0
