"""Decides whether a request is sent to a server, and when to come back.

Answers a load above the capacity of a service. A queue that grows to the
deadline makes every answer late, while slots stay as busy as with a short one;
so a request waits only as long as it can still be on time, or for one turn of
the slots. The others are rejected at once, and their returns are spread so that
they don't arrive together.

In a crowded region runs for cold objects take three times the slots of others,
are late, and push out objects that are warm: it stays crowded with the same
callers that it served before. There a run that will be late begins only on a
server that is nearly idle.
"""

from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Part of the time left that a request may use that has to wait for a slot; the
# rest covers the spread of the work.
_USABLE_PART: Final = 0.8
_SHORTEST_RETURN_MS: Final = 200
_SHORTEST_RETURN_NS: Final[Nanoseconds] = _SHORTEST_RETURN_MS * MILLISECOND_NS
_LONGEST_RETURN_NS: Final[Nanoseconds] = 3 * SECOND_NS
# Callers that wait for the same server come back over this time.
_RETURN_SPREAD_NS: Final[Nanoseconds] = SECOND_NS // 2


@frozen
class Admitted:
    """The request goes to the chosen server."""

    choice: Candidate


@frozen
class Rejected:
    """The request would not be answered in time.

    Attributes:
        retry_after: Time after which coming back helps.
    """

    retry_after: Nanoseconds


def decide_admission(
    choice: Candidate | None,
    target: Nanoseconds,
    time_left: Nanoseconds,
    jitter: float,
    opening: Nanoseconds | None = None,
    policies: Policies = DEFAULT_POLICIES,
    *,
    is_crowded: bool = False,
) -> Admitted | Rejected:
    """Return whether a request is sent.

    Args:
        choice: The server that would get it, ``None`` if there is none.
        target: Time within which its answer is on time.
        time_left: Time until its deadline.
        jitter: Random number from 0 to 1 that spreads the returns.
        opening: Time until the first server takes work again, if there is no
            server now; ``None`` if it isn't known.
        policies: The policies in use.
        is_crowded: Whether the other servers of the region are nearly full.
    """
    if choice is None and opening is not None:
        return Rejected(opening + round(jitter * _RETURN_SPREAD_NS))
    if choice is None:
        return Rejected(_return_time(SECOND_NS, jitter))
    is_late = choice.expected_work + choice.network_delay > target
    if is_late and is_crowded and choice.load >= policies.late_part:
        return Rejected(
            _return_time(
                max(choice.expected_wait, choice.slot_turnover), jitter
            )
        )
    least = 0 if is_crowded else choice.slot_turnover
    longest = max(target - choice.expected_work - choice.network_delay, least)
    is_hopeless = choice.expected_latency > _USABLE_PART * time_left
    if choice.expected_wait and (choice.expected_wait > longest or is_hopeless):
        return Rejected(_return_time(choice.expected_wait, jitter))
    return Admitted(choice)


def _return_time(wait: Nanoseconds, jitter: float) -> Nanoseconds:
    bounded = min(max(wait, _SHORTEST_RETURN_NS), _LONGEST_RETURN_NS)
    return round(bounded * (0.5 + jitter))
