"""Tests of the checks: one that reports nothing would pass a broken fleet."""

from hashlib import sha256

from tests.process.checkers import (
    admission_times,
    find_broken_answers,
    find_false_not_run,
    find_foreign_accounts,
    find_leaked_keys,
    find_repeated_runs,
    find_requests_after,
    max_rate_excess,
    max_shift,
)

from geraniumshelf_standins.caller.client import Outcome

_SECOND_NS = 1_000_000_000


def _record(name: str, outcome: str = 'done', **changes: object) -> dict:
    return {
        'request_id': name,
        'account': 'a',
        'method': 'POST',
        'path': '/',
        'headers': [],
        'started_ns': 0,
        'outcome': outcome,
        **changes,
    }


def _outcome(name: str, ran: str = 'ran', **changes: object) -> Outcome:
    return Outcome(200, 0, ran, name, '', 0, **changes)


def test_second_run_is_flagged_and_a_shed_request_is_no_run() -> None:
    records = [_record('x'), _record('x', 'shed'), _record('y')]
    assert find_repeated_runs(records) == []
    assert find_repeated_runs([*records, _record('y', 'silent')]) == ['y']


def test_run_behind_a_not_run_is_flagged() -> None:
    refused = [_outcome('x', 'not-run'), _outcome('y', 'unknown')]
    assert (
        find_false_not_run(refused, [_record('y'), _record('x', 'shed')]) == []
    )
    assert find_false_not_run(refused, [_record('x', 'cancelled')]) == ['x']


def test_rate_above_the_bound_is_flagged_in_a_short_interval() -> None:
    burst = [0] * 10
    paced = [_SECOND_NS + index * _SECOND_NS // 5 for index in range(40)]
    assert max_rate_excess(burst, 5, 10) == 0
    assert max_rate_excess([*burst, *paced], 5, 10) == 0
    assert max_rate_excess([*burst, *paced, 2 * _SECOND_NS], 5, 5) >= 5
    assert max_rate_excess([*paced, *([3 * _SECOND_NS] * 12)], 5, 10) >= 2


def test_repeated_admissions_count_once() -> None:
    records = [_record('x', started_ns=5), _record('x', started_ns=3)]
    other = _record('y', account='b')
    assert admission_times([*records, other], 'a') == [3]


def test_key_is_flagged_in_any_header_and_encoding() -> None:
    clean = _record('x', headers=[('Accept', 'text')])
    assert find_leaked_keys([clean], ['secret-1']) == []
    for name, text in (
        ('X-Copy', 'is secret-1'),
        ('Authorization', 'Basic c2VjcmV0LTE='),
        ('GERANIUMSHELF-KEY', 'cut'),
    ):
        bad = _record('x', headers=[(name, text)])
        assert find_leaked_keys([clean, bad], ['secret-1'])
    assert find_leaked_keys([_record('x', path='/?k=secret-1')], ['secret-1'])


def test_run_for_another_account_is_flagged() -> None:
    assert find_foreign_accounts([_record('x')], {'x': 'a'}) == []
    assert find_foreign_accounts([_record('x')], {'x': 'b'}) == ['x']
    assert find_foreign_accounts([_record('z')], {}) == ['z']


def test_truncated_mixed_and_foreign_answers_are_flagged() -> None:
    digest = sha256(b'0123456789abcdef').hexdigest()
    whole = _outcome(
        'x', digest=digest, expected_digest=digest, answer_request_id='x'
    )
    assert find_broken_answers([(whole, 16)]) == []
    truncated = _outcome(
        'x', digest='0', expected_digest=digest, answer_request_id='x'
    )
    foreign = _outcome(
        'x', digest=digest, expected_digest=digest, answer_request_id='y'
    )
    assert (
        len(find_broken_answers([(whole, 32), (truncated, 16), (foreign, 16)]))
        == 3
    )


def test_shift_within_a_window_is_flagged_and_slow_shifts_are_not() -> None:
    def sample(at: float, moved: int) -> tuple[float, dict[str, str]]:
        return at, {str(n): 'b' if n < moved else 'a' for n in range(10)}

    assert max_shift([sample(0, 0), sample(5, 2), sample(10, 4)], 4) == 0
    assert max_shift([sample(0, 0), sample(3, 4), sample(9, 4)], 4) == 0.4


def test_work_after_the_limit_is_flagged() -> None:
    records = [_record('x', started_ns=1), _record('y', started_ns=9)]
    assert find_requests_after(records, 5) == ['y']
