"""Decides whether a request is sent to a server or rejected.

Sheds load above the capacity of a service. If the queue grew up to the
deadline, every response would be late, while the slots would be no busier than
with a short queue. So a request is queued only as long as it can meet the
target latency, or for one turnover of the slots. Other requests are rejected
at once, and their retry times have jitter so that they do not return together.

In a crowded region, requests for cold objects take three times as much slot
time, are late, and evict warm objects from the servers. The region then stays
crowded under a load that it could serve before. So a request that will be late
starts there only on a server that is nearly idle.
"""

from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Fraction of the time to its deadline that a queued request may be expected to
# take; the rest covers the variance of the work.
_USABLE_FRACTION: Final = 0.8
_MIN_RETRY_AFTER_MS: Final = 200
_MIN_RETRY_AFTER_NS: Final[Nanoseconds] = _MIN_RETRY_AFTER_MS * MILLISECOND_NS
_MAX_RETRY_AFTER_NS: Final[Nanoseconds] = 3 * SECOND_NS
# Callers that wait for the same server retry within this time after it becomes
# available.
_RETRY_JITTER_NS: Final[Nanoseconds] = SECOND_NS // 2


@frozen
class Admitted:
    """The request is sent to the selected server."""

    candidate: Candidate


@frozen
class Rejected:
    """The request is rejected because it would not be answered in time.

    Attributes:
        retry_after: Time after which the caller should retry.
    """

    retry_after: Nanoseconds


def decide_admission(
    candidate: Candidate | None,
    target: Nanoseconds,
    time_left: Nanoseconds,
    jitter: float,
    available_in: Nanoseconds | None = None,
    policies: Policies = DEFAULT_POLICIES,
    *,
    is_crowded: bool = False,
) -> Admitted | Rejected:
    """Decide whether a request is sent to a server or rejected.

    Args:
        candidate: The server that would get it, ``None`` if there is none.
        target: Target latency of its service.
        time_left: Time until its deadline.
        jitter: Random number from 0 to 1 that varies the retry time.
        available_in: Time until the first server is available if there is no
            candidate; ``None`` if it is unknown.
        policies: The policies in use.
        is_crowded: Whether the servers of the candidate's region are nearly
            full.
    """
    if candidate is None and available_in is not None:
        return Rejected(available_in + round(jitter * _RETRY_JITTER_NS))
    if candidate is None:
        return Rejected(_retry_after(SECOND_NS, jitter))
    is_late = candidate.expected_work + candidate.network_delay > target
    if is_late and is_crowded and candidate.load >= policies.late_part:
        return Rejected(
            _retry_after(
                max(candidate.expected_wait, candidate.slot_turnover), jitter
            )
        )
    min_limit = 0 if is_crowded else candidate.slot_turnover
    max_wait = max(
        target - candidate.expected_work - candidate.network_delay, min_limit
    )
    is_too_late = candidate.expected_latency > _USABLE_FRACTION * time_left
    if candidate.expected_wait and (
        candidate.expected_wait > max_wait or is_too_late
    ):
        return Rejected(_retry_after(candidate.expected_wait, jitter))
    return Admitted(candidate)


def _retry_after(wait: Nanoseconds, jitter: float) -> Nanoseconds:
    bounded = min(max(wait, _MIN_RETRY_AFTER_NS), _MAX_RETRY_AFTER_NS)
    return round(bounded * (0.5 + jitter))
