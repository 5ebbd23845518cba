"""Checks of what callers received and what backend servers recorded."""

from base64 import b64encode
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from hashlib import sha256
from typing import Any
from urllib.parse import quote

from geraniumshelf_standins.caller.client import Outcome

Records = Sequence[Mapping[str, Any]]

_BODY_PATTERN = b'0123456789abcdef'
_SECOND_NS = 1_000_000_000


def find_repeated_runs(records: Records) -> list[str]:
    """Return the request ids that backend servers began to run repeatedly.

    A shed request did not run. A request whose answer was cut, cancelled or
    withheld may have run and counts.
    """
    runs = _count_runs(records)
    return sorted(request_id for request_id, count in runs.items() if count > 1)


def find_false_not_run(
    outcomes: Iterable[Outcome], records: Records
) -> list[str]:
    """Return the request ids that ran although every answer says "not run".

    The number of runs is not checked here but by ``find_repeated_runs``, as an
    idempotent request may run on several servers for one answer.
    """
    may_have_run: dict[str, bool] = {}
    for outcome in outcomes:
        earlier = may_have_run.get(outcome.request_id, False)
        may_have_run[outcome.request_id] = earlier or outcome.ran != 'not-run'
    runs = _count_runs(records)
    return sorted(
        request_id
        for request_id, is_allowed in may_have_run.items()
        if runs[request_id] and not is_allowed
    )


def max_rate_excess(
    times_ns: Iterable[int], rate_per_s: float, burst: float
) -> float:
    """Return by how many requests a token bucket was exceeded at most.

    Args:
        times_ns: Times of the admitted requests, nanoseconds.
        rate_per_s: Refill rate of the bucket, tokens per second.
        burst: Size of the bucket, tokens.
    """
    tokens = burst
    max_excess = 0.0
    last = None
    for at in sorted(times_ns):
        if last is not None:
            refill = (at - last) / _SECOND_NS * rate_per_s
            tokens = min(burst, tokens + refill)
        last = at
        tokens -= 1
        max_excess = max(max_excess, -tokens)
    return max_excess


def admission_times(records: Records, account: str) -> list[int]:
    """Return the times at which requests of an account first reached a server.

    Attempts with the same request id count once, at the earliest time.
    """
    first: dict[str, int] = {}
    for record in records:
        if record['account'] != account:
            continue
        request_id, at_ns = record['request_id'], record['started_ns']
        first[request_id] = min(at_ns, first.get(request_id, at_ns))
    return list(first.values())


def find_leaked_keys(records: Records, keys: Iterable[str]) -> list[str]:
    """Return the request ids and fields in which servers received a key.

    Keys are searched in plain, URL-quoted, base64 and hexadecimal form. A
    header for Geraniumshelf keys is reported whatever its value.
    """
    forms = {form for key in keys for form in _encode_key(key)}
    found = []
    for record in records:
        parts = [('path', record['path']), *record['headers']]
        for name, text in parts:
            is_key_header = 'key' in name.lower() and 'geranium' in name.lower()
            if is_key_header or any(form in name + text for form in forms):
                found.append(f'{record["request_id"]}: {name}')
    return found


def find_foreign_accounts(
    records: Records, accounts: Mapping[str, str]
) -> list[str]:
    """Return the request ids that ran for another account than their key's.

    Args:
        records: Records of backend servers.
        accounts: Account of the key that each request id was sent with.
    """
    return sorted(
        record['request_id']
        for record in records
        if record['account'] != accounts.get(record['request_id'], '')
    )


def find_broken_answers(answers: Iterable[tuple[Outcome, int]]) -> list[str]:
    """Return a line for each complete answer with wrong content.

    Args:
        answers: Outcomes with the requested size of the body, bytes.
    """
    errors = []
    for outcome, size in answers:
        if not outcome.is_served:
            continue
        digest = sha256(
            _BODY_PATTERN * (size // len(_BODY_PATTERN))
        ).hexdigest()
        if outcome.digest != outcome.expected_digest:
            errors.append(
                f'{outcome.request_id}: body is truncated or mixed with another'
            )
        elif outcome.digest != digest:
            errors.append(
                f'{outcome.request_id}: body of an answer to another request'
            )
        elif outcome.answer_request_id != outcome.request_id:
            errors.append(
                f'{outcome.request_id}: request id of another request'
            )
    return errors


def max_shift(
    samples: Iterable[tuple[float, Mapping[str, str]]], window_s: float
) -> float:
    """Return the largest fraction of clients that moved within a window.

    Args:
        samples: Times in seconds with the destination by client.
        window_s: Length of the window, seconds.
    """
    ordered = sorted(samples, key=lambda sample: sample[0])
    max_fraction = 0.0
    for index, (start, earlier_state) in enumerate(ordered):
        for at, later_state in ordered[index + 1 :]:
            if at - start > window_s:
                break
            moved = sum(
                earlier_state[client] != later_state[client]
                for client in earlier_state
            )
            max_fraction = max(max_fraction, moved / len(earlier_state))
    return max_fraction


def find_requests_after(records: Records, limit_ns: int) -> list[str]:
    """Return the ids of requests that arrived after a time."""
    return [
        record['request_id']
        for record in records
        if record['started_ns'] > limit_ns
    ]


def _count_runs(records: Records) -> defaultdict[str, int]:
    runs: defaultdict[str, int] = defaultdict(int)
    for record in records:
        if record['outcome'] != 'shed' and record['request_id']:
            runs[record['request_id']] += 1
    return runs


def _encode_key(key: str) -> tuple[str, ...]:
    plain = key.encode()
    return (key, quote(key, safe=''), b64encode(plain).decode(), plain.hex())
