"""Tests request ids and run records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.idempotency.commands import (
    adopt,
    become_issuer,
    begin_handover,
    complete_handover,
    decide,
    finish,
)
from geraniumshelf_core.idempotency.queries import export_rows, record_count
from geraniumshelf_core.idempotency.request_id import (
    WINDOW_NS,
    RequestId,
    parse_request_id,
)
from geraniumshelf_core.idempotency.state import (
    Done,
    Finished,
    Full,
    InProgress,
    Lost,
    Moved,
    NotRun,
    Run,
    RunTable,
    Unknown,
)

_ISSUER = ('addis-a/0', 255)


def _table(max_records: int = 100, max_kept_bytes: int = 10_000) -> RunTable:
    table = RunTable(max_records, max_kept_bytes)
    become_issuer(table, _ISSUER, 0)
    return table


def _id(suffix: str, window: int = 0) -> RequestId:
    return RequestId(*_ISSUER, window, suffix)


@given(
    st.from_regex('[a-z.-]{1,20}(/[0-9]{1,3})?', fullmatch=True),
    st.integers(0, 2**64 - 1),
    st.integers(0, 10**11),
    st.from_regex('[A-Za-z0-9_-]{1,64}', fullmatch=True),
)
def test_id_survives_its_text(
    slot: str, incarnation: int, window: int, suffix: str
) -> None:
    """An id that parses to a different one would reach the wrong decider."""
    request_id = RequestId(slot, incarnation, window, suffix)
    assert parse_request_id(str(request_id)) == request_id


@given(st.one_of(st.text(max_size=40), st.from_regex('[a~.0-9f-]{0,30}')))
def test_any_text_parses_or_is_refused(text: str) -> None:
    """Any other exception would be answered as an internal fault."""
    try:
        parse_request_id(text)
    except RequestRefused as refused:
        assert refused.code is ResultCode.MALFORMED_REQUEST_ID


@pytest.mark.parametrize(
    ('text', 'part'),
    [
        ('a~0.ff.7', 'four parts'),
        ('a/0.ff.7.x', 'slot'),
        ('a~0.xyz.7.x', 'incarnation'),
        ('a~0.ff.-7.x', 'window'),
        ('a~0.ff.7.' + 'x' * 65, 'suffix'),
        ('a~0.ff.7.', 'suffix'),
    ],
)
def test_error_names_the_wrong_part(text: str, part: str) -> None:
    """Callers that build ids themselves must learn which part is wrong."""
    with pytest.raises(RequestRefused, match=part):
        parse_request_id(text)


_OUTCOMES = {
    'lost': Lost(),
    'not-run': NotRun(),
    'finished': Finished(200, (), b'x' * 30),
}


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['decide', 'wait', *_OUTCOMES]),
            st.sampled_from('xyz'),
            st.sampled_from(['one', 'two']),
            st.integers(0, 14),
        ),
        max_size=80,
    )
)
def test_no_history_grants_a_second_run(
    steps: list[tuple[str, str, str, int]],
) -> None:
    """A request must run at most once, whatever the order of events.

    This checks guarantee 9 on a small table.
    """
    table, now = _table(max_records=4, max_kept_bytes=50), 0
    open_runs: dict[tuple[str, RequestId], str] = {}
    closed: set[tuple[str, RequestId]] = set()
    for step, suffix, requester, window in steps:
        request_id = _id(suffix, window)
        key = ('account', request_id)
        if step == 'wait':
            now += 3 * WINDOW_NS // 2
        elif step == 'decide':
            verdict = decide(table, *key, requester, now)
            if verdict == Run():
                assert key not in open_runs
                assert key not in closed
                open_runs[key] = requester
        elif finish(table, *key, requester, _OUTCOMES[step]):
            assert open_runs.pop(key) == requester
            if step != 'not-run':
                closed.add(key)
        assert record_count(table) <= 4
        assert 0 <= table.kept_bytes <= 50


def test_verdicts_follow_the_run() -> None:
    """A caller that repeats a request must learn what is known of its run."""
    table, large_body = _table(), b'x' * 5000
    assert decide(table, 'a', _id('s'), 'me', 0) == Run()
    assert decide(table, 'a', _id('s'), 'me', 0) == InProgress()
    assert not finish(table, 'a', _id('s'), 'other', NotRun())
    finish(table, 'a', _id('s'), 'me', Finished(200, (), large_body))
    assert decide(table, 'a', _id('s'), 'me', 0) == Done(Finished(200))
    assert decide(table, 'b', _id('s'), 'me', 0) == Run()
    finish(table, 'b', _id('s'), 'me', Lost())
    assert isinstance(decide(table, 'b', _id('s'), 'me', 0), Unknown)


def test_full_table_refuses_and_evicts_nothing() -> None:
    """Evicting a record early would let its request run again."""
    table = _table(max_records=2)
    for suffix in 'xy':
        assert decide(table, 'a', _id(suffix), 'me', 0) == Run()
    assert decide(table, 'a', _id('z'), 'me', 0) == Full()
    assert decide(table, 'a', _id('x'), 'me', 0) == InProgress()
    late = 10 * WINDOW_NS
    assert isinstance(decide(table, 'a', _id('x'), 'me', late), Unknown)
    assert decide(table, 'a', _id('z', 10), 'me', late) == Run()


def test_ids_of_unknown_issuers_and_future_windows_are_unknown() -> None:
    """Ids with forged windows would occupy the table past their expiry."""
    table = _table()
    foreign_id = RequestId('addis-a/0', 254, 0, 's')
    assert isinstance(decide(table, 'a', foreign_id, 'me', 0), Unknown)
    assert isinstance(decide(table, 'a', _id('s', 1), 'me', 0), Unknown)


def test_handed_over_records_are_decided_by_one_daemon() -> None:
    """Two deciders for one issuer could grant two runs of a request."""
    old, new = _table(), RunTable(100, 10_000)
    for suffix in 'xyz':
        decide(old, 'a', _id(suffix), 'old', 0)
    finish(old, 'a', _id('x'), 'old', Finished(201, (('A', 'b'),), b'ok'))
    finish(old, 'a', _id('y'), 'old', Lost())
    begin_handover(old, _ISSUER)
    assert isinstance(decide(old, 'a', _id('new'), 'me', 0), Unknown)
    now = 500 * WINDOW_NS
    adopt(new, _ISSUER, 2, export_rows(old, _ISSUER), now)
    complete_handover(old, _ISSUER, 'new')
    assert decide(old, 'a', _id('x'), 'me', 0) == Moved('new')
    done = Done(Finished(201, (('A', 'b'),), b'ok'))
    assert decide(new, 'a', _id('x'), 'me', now) == done
    assert isinstance(decide(new, 'a', _id('y'), 'me', now), Unknown)
    assert decide(new, 'a', _id('z'), 'me', now) == InProgress()
    assert decide(new, 'a', _id('n', 2), 'me', now) == Run()
    adopt(new, _ISSUER, 0, (), now)
    assert decide(new, 'a', _id('n', 2), 'me', now) == InProgress()
    later = now + 10 * WINDOW_NS
    assert isinstance(decide(new, 'a', _id('n', 2), 'me', later), Unknown)
