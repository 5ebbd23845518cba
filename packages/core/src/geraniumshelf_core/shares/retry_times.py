"""Times at which refused requests of an account should be sent again.

Callers that are all told the same time return together, and all but one of them
are refused again. Each refusal therefore names the time of a token of its own,
at the rate at which this daemon has had tokens lately.
"""

from math import exp
from typing import Final

from attrs import define

from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# The rate is smoothed over this time, in seconds, about two of the rounds in
# which tokens and loans are exchanged.
_SMOOTHING_S: Final = 1.0
# Callers return within a third of the time that they have left, and route
# timeouts are 1.5 to 2 s. Later times are stated, but not kept for a caller.
_MAX_KEPT_MS: Final = 700
_MAX_KEPT_NS: Final[Nanoseconds] = _MAX_KEPT_MS * MILLISECOND_NS
_MAX_INTERVAL_NS: Final[Nanoseconds] = SECOND_NS


@define
class RetryTimes:
    """Times that were stated to callers of one account.

    Attributes:
        rate: Smoothed tokens per second.
        measured_at: Time of the last token.
        stated_until: Latest time that is kept for a caller.
    """

    rate: float = 0
    measured_at: Nanoseconds = 0
    stated_until: Nanoseconds = 0


def record_token(times: RetryTimes, now: Nanoseconds) -> None:
    """Record that a request got a token."""
    times.rate = _decayed_rate(times, now) + 1 / _SMOOTHING_S
    times.measured_at = now


def state_retry(
    times: RetryTimes, wait: Nanoseconds, bucket_rate: float, now: Nanoseconds
) -> Nanoseconds:
    """Return the time until a token is expected for a refused request.

    Args:
        times: Times stated before.
        wait: Time until the next token.
        bucket_rate: Rate of the bucket of this daemon, tokens per second.
        now: Current time.
    """
    rate = max(_decayed_rate(times, now), bucket_rate)
    interval = _MAX_INTERVAL_NS
    if rate > 0:
        interval = min(interval, round(SECOND_NS / rate))
    stated = max(now + wait, times.stated_until + interval)
    if stated - now <= _MAX_KEPT_NS:
        times.stated_until = stated
    return stated - now


def _decayed_rate(times: RetryTimes, now: Nanoseconds) -> float:
    elapsed_s = max(0, now - times.measured_at) / SECOND_NS
    return times.rate * exp(-elapsed_s / _SMOOTHING_S)
