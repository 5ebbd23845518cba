"""Functions that decide whether requests run and keep the run records."""

from collections.abc import Iterable

from attrs import evolve

from geraniumshelf_core.idempotency.queries import (
    Row,
    find_record,
    import_record,
    issuer_of,
    issuer_window,
    record_count,
    undecidable_reason,
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
    """Start deciding about the request ids that this daemon issues itself."""
    table.issuers[issuer] = Adoption(current_window(now), now)


def decide(
    table: RunTable,
    account: str,
    request_id: RequestId,
    requester: str,
    now: Nanoseconds,
) -> Verdict:
    """Return the verdict about a request and record a granted run.

    ``Run`` is returned at most once for a request, unless the granted run
    ends with ``NotRun``.
    """
    issuer = issuer_of(request_id)
    successor = table.moved.get(issuer)
    if successor is not None:
        return _verdict_after_move(successor)
    expire_records(table, now)
    reason = undecidable_reason(table, request_id, now)
    if reason is not None:
        return reason
    record = find_record(table, account, request_id)
    if record is not None:
        return _verdict_for_record(record)
    if record_count(table) >= table.max_records:
        return Full()
    _store(table, account, request_id, Running(requester))
    return Run()


def finish(
    table: RunTable,
    account: str,
    request_id: RequestId,
    requester: str,
    outcome: RunOutcome,
) -> bool:
    """Record how a granted run ended; return whether it was recorded.

    Only the requester that holds the grant can end the run, and only once.
    """
    if find_record(table, account, request_id) != Running(requester):
        return False
    match outcome:
        case NotRun():
            _drop(table, account, request_id)
        case Lost():
            _store(table, account, request_id, outcome)
        case Finished():
            _store(table, account, request_id, _limit_body(table, outcome))
    return True


def expire_records(table: RunTable, now: Nanoseconds) -> None:
    """Remove the records of windows that have expired.

    ``undecidable_reason`` refuses ids of these windows from now on.
    """
    for issuer in table.issuers:
        adoption = table.issuers[issuer]
        last_expired_window = issuer_window(adoption, now) - KEPT_WINDOWS
        windows = table.records.get(issuer, {})
        for window in _windows_until(windows, last_expired_window):
            for record in windows.pop(window).values():
                table.kept_bytes -= _body_size(record)


def begin_handover(table: RunTable, issuer: Issuer) -> None:
    """Stop deciding for an issuer permanently.

    Two deciders could both grant a run, so the old one stops first and never
    resumes, even if the handover fails.
    """
    table.moved.setdefault(issuer, '')


def complete_handover(table: RunTable, issuer: Issuer, instance: str) -> None:
    """Record the instance that decides for an issuer from now on."""
    table.moved[issuer] = instance


def adopt(
    table: RunTable,
    issuer: Issuer,
    window: int,
    rows: Iterable[Row],
    now: Nanoseconds,
) -> None:
    """Take over the decisions for an issuer together with all its records.

    An issuer that this daemon already decides for is left unchanged.

    Raises:
        ValueError: If a row is malformed; nothing was adopted then.
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


def _windows_until(windows: Iterable[int], last: int) -> tuple[int, ...]:
    return tuple(window for window in windows if window <= last)


def _verdict_after_move(instance: str) -> Verdict:
    if instance:
        return Moved(instance)
    return Unknown(
        'the records of the issuing daemon are being handed over to a peer'
    )


def _verdict_for_record(record: RunRecord) -> Verdict:
    match record:
        case Running():
            return InProgress()
        case Lost():
            return Unknown('the outcome of the run of this request was lost')
        case Finished():
            return Done(record)


def _limit_body(table: RunTable, answer: Finished) -> Finished:
    size = _body_size(answer)
    has_room = table.kept_bytes + size <= table.max_kept_bytes
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
    table.kept_bytes += _body_size(record)


def _drop(table: RunTable, account: str, request_id: RequestId) -> None:
    windows = table.records.get(issuer_of(request_id), {})
    records = windows.get(request_id.window, {})
    old = records.pop((account, request_id), None)
    if old is not None:
        table.kept_bytes -= _body_size(old)


def _body_size(record: RunRecord) -> int:
    if isinstance(record, Finished) and record.body is not None:
        return len(record.body)
    return 0
