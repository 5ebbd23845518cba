"""Judge from outside what callers got and backend servers recorded."""

from base64 import b64encode
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from hashlib import sha256
from typing import Any
from urllib.parse import quote

from geraniumshelf_standins.caller.client import Outcome

Records = Sequence[Mapping[str, Any]]

_PATTERN = b'0123456789abcdef'
_SECOND_NS = 1_000_000_000


def doubled_runs(records: Records) -> list[str]:
    """Return the request ids that backend servers began more than once.

    A request that was shed did not run; one that was cut, cancelled or
    answered with silence may have.
    """
    runs = _runs(records)
    return sorted(name for name, count in runs.items() if count > 1)


def false_not_run(outcomes: Iterable[Outcome], records: Records) -> list[str]:
    """Return the ids that ran although every answer says "not run".

    An idempotent request may run on several servers for one answer, so the
    number of runs is judged by ``doubled_runs`` alone.
    """
    may_have_run: dict[str, bool] = {}
    for outcome in outcomes:
        earlier = may_have_run.get(outcome.request_id, False)
        may_have_run[outcome.request_id] = earlier or outcome.ran != 'not-run'
    runs = _runs(records)
    return sorted(
        name
        for name, is_allowed in may_have_run.items()
        if runs[name] and not is_allowed
    )


def rate_excess(
    times_ns: Iterable[int], rate_per_s: float, burst: float
) -> float:
    """Return the worst excess over rate times time plus burst."""
    tokens = burst
    worst = 0.0
    last = None
    for at in sorted(times_ns):
        if last is not None:
            refill = (at - last) / _SECOND_NS * rate_per_s
            tokens = min(burst, tokens + refill)
        last = at
        tokens -= 1
        worst = max(worst, -tokens)
    return worst


def admission_times(records: Records, account: str) -> list[int]:
    """Return when each request of an account first reached a server."""
    first: dict[str, int] = {}
    for record in records:
        if record['account'] != account:
            continue
        name, at = record['request_id'], record['started_ns']
        first[name] = min(at, first.get(name, at))
    return list(first.values())


def leaked_keys(records: Records, keys: Iterable[str]) -> list[str]:
    """Return where keys are seen in what reached backend servers."""
    forms = {form for key in keys for form in _forms(key)}
    seen = []
    for record in records:
        parts = [('path', record['path']), *record['headers']]
        for name, text in parts:
            is_key_header = 'key' in name.lower() and 'geranium' in name.lower()
            if is_key_header or any(form in name + text for form in forms):
                seen.append(f'{record["request_id"]}: {name}')
    return seen


def foreign_accounts(
    records: Records, accounts: Mapping[str, str]
) -> list[str]:
    """Return ids that ran for another account than that of their key.

    Args:
        records: What backend servers recorded.
        accounts: Account whose key each request id was sent with.
    """
    return sorted(
        record['request_id']
        for record in records
        if record['account'] != accounts.get(record['request_id'], '')
    )


def broken_answers(answers: Iterable[tuple[Outcome, int]]) -> list[str]:
    """Return what is wrong with answers that callers took as whole.

    Args:
        answers: Outcomes with the size of the answer that was asked for.
    """
    faults = []
    for outcome, size in answers:
        if not outcome.is_served:
            continue
        digest = sha256(_PATTERN * (size // len(_PATTERN))).hexdigest()
        if outcome.digest != outcome.expected_digest:
            faults.append(f'{outcome.request_id}: truncated or mixed')
        elif outcome.digest != digest:
            faults.append(f'{outcome.request_id}: content of another request')
        elif outcome.answer_request_id != outcome.request_id:
            faults.append(f'{outcome.request_id}: id of another request')
    return faults


def largest_shift(
    samples: Iterable[tuple[float, Mapping[str, str]]], window_s: float
) -> float:
    """Return the largest share of clients that moved within a window.

    Args:
        samples: Times in seconds with the destination of each client.
        window_s: Length of the window, seconds.
    """
    ordered = sorted(samples, key=lambda sample: sample[0])
    worst = 0.0
    for index, (start, before) in enumerate(ordered):
        for at, after in ordered[index + 1 :]:
            if at - start > window_s:
                break
            moved = sum(before[one] != after[one] for one in before)
            worst = max(worst, moved / len(before))
    return worst


def work_after(records: Records, limit_ns: int) -> list[str]:
    """Return the ids of requests that began after a time."""
    return [
        record['request_id']
        for record in records
        if record['started_ns'] > limit_ns
    ]


def _runs(records: Records) -> defaultdict[str, int]:
    runs: defaultdict[str, int] = defaultdict(int)
    for record in records:
        if record['outcome'] != 'shed' and record['request_id']:
            runs[record['request_id']] += 1
    return runs


def _forms(key: str) -> tuple[str, ...]:
    plain = key.encode()
    return (key, quote(key, safe=''), b64encode(plain).decode(), plain.hex())
