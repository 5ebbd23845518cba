"""Rejections by servers that are not full.

A fault may make servers reject requests at random while they have free slots,
or places in their queue.
Such a partial rejection says nothing about the capacity of the server, and the
next request to it may well be accepted. A server that counted as full or failed
for it would be lost to all other requests, and if all servers of a service
reject, so would be the service.
"""

from collections.abc import Iterator
from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.limited_servers import is_limited
from geraniumshelf_core.placement.notices import is_paused
from geraniumshelf_core.placement.rejection_rates import (
    AttemptWeights,
    RejectionRate,
    count_attempt,
    current_weights,
    estimate_rate,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Weighted attempts below which a rate is not compared or reported.
_MIN_ATTEMPTS: Final = 5
# Difference from the other servers of the service at which a server is ejected.
_CLEAR_EXCESS: Final = 0.5
# Rates at which a service is reported as rejecting, and as accepting again. A
# server is reported by its excess over the other servers in the same way.
_REJECTING_RATE: Final = 0.25
_ACCEPTING_RATE: Final = 0.1
# A refused request may be accepted at once; the jitter keeps the requests that
# were refused together from returning together.
_RETRY_AFTER_MS: Final = 50
_RETRY_JITTER_MS: Final = 50


@frozen
class RejectionChange:
    """A server or a service began or ceased to reject requests.

    Attributes:
        name: Name of the server or the service.
        is_service: Whether all servers of the service together are meant.
        is_rejecting: Whether it rejects requests now.
        rate: Estimated rate of partial rejections, 0 to 1.
    """

    name: str
    is_service: bool
    is_rejecting: bool
    rate: float


def is_partial_rejection(
    state: PlacementState,
    view: ServerView,
    running: int,
    waiting: int,
    now: Nanoseconds,
) -> bool:
    """Return whether a server rejected a request although it was not full.

    It is full if all its slots are taken and its queue is as long as any that
    servers of the service have reported. A server that has requested a pause,
    announced its departure or named a limit has stated the cause of its
    rejection, so the rules for these apply.

    Args:
        state: All listed servers.
        view: The server.
        running: Requests that it runs, by its own report.
        waiting: Requests in its queue, by its own report.
        now: Current time.
    """
    if not state.policies.counts_rejections:
        return False
    if is_paused(view, now) or view.notice.is_leaving or is_limited(view):
        return False
    if running < view.server.slots:
        return True
    return waiting < _longest_queue(state, view.server.service)


def record_attempt(
    state: PlacementState,
    view: ServerView,
    now: Nanoseconds,
    *,
    is_rejected: bool,
) -> None:
    """Record that a server accepted or partially rejected a request.

    Rejections by a full server and failures are not recorded, because they do
    not show whether the server accepts requests when it is not full.
    """
    if not state.policies.counts_rejections:
        return
    service = state.rejections.setdefault(view.server.service, RejectionRate())
    count_attempt(view.rejections, now, is_rejected=is_rejected)
    count_attempt(service, now, is_rejected=is_rejected)


def relative_attempts(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> float:
    """Return how many times the attempts of its service a server needs.

    Returns:
        At least 1, so that no server gains by the rejections of others.
    """
    service = state.rejections.get(view.server.service)
    if service is None or not view.rejections.weights.rejections:
        return 1
    typical = estimate_rate(current_weights(service, now), 0)
    own = estimate_rate(current_weights(view.rejections, now), typical)
    return max(1, (1 - typical) / (1 - own))


def is_outlier(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> bool:
    """Return whether a server clearly rejects more than those of its service.

    If all servers reject at the same rate, none of them is an outlier, however
    long a series of rejections one of them happens to return.
    """
    own = current_weights(view.rejections, now)
    others = _other_weights(state, view, now)
    if min(own.attempts, others.attempts) < _MIN_ATTEMPTS:
        return False
    return _excess(own, others) >= _CLEAR_EXCESS


def update_rejecting(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> tuple[RejectionChange, ...]:
    """Return what changed with the last attempt at a server."""
    if view.server.service not in state.rejections:
        return ()
    return tuple(_changes(state, view, now))


def rejection_delay(jitter: float) -> Nanoseconds:
    """Return the time after which a request that was rejected may be retried.

    Args:
        jitter: Random number from 0 to 1.
    """
    return round((_RETRY_AFTER_MS + jitter * _RETRY_JITTER_MS) * MILLISECOND_NS)


def _longest_queue(state: PlacementState, service: str) -> int:
    """Return the longest queue that servers of a service have reported."""
    return max(
        (
            view.longest_queue
            for view in state.servers.values()
            if view.server.service == service
        ),
        default=0,
    )


def _changes(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> Iterator[RejectionChange]:
    service = state.rejections[view.server.service]
    weights = current_weights(service, now)
    rate = estimate_rate(weights, 0)
    is_high = rate >= _REJECTING_RATE and weights.attempts >= _MIN_ATTEMPTS
    if _update(service, rate, is_high=is_high):
        yield RejectionChange(
            view.server.service,
            is_service=True,
            is_rejecting=service.is_rejecting,
            rate=rate,
        )
    own = current_weights(view.rejections, now)
    excess = _excess(own, _other_weights(state, view, now))
    if _update(view.rejections, excess, is_high=is_outlier(state, view, now)):
        yield RejectionChange(
            view.server.name,
            is_service=False,
            is_rejecting=view.rejections.is_rejecting,
            rate=estimate_rate(own, 0),
        )


def _update(rate: RejectionRate, level: float, *, is_high: bool) -> bool:
    """Update whether a rate is reported; return whether this has changed."""
    was_rejecting = rate.is_rejecting
    if was_rejecting:
        rate.is_rejecting = level > _ACCEPTING_RATE
    else:
        rate.is_rejecting = is_high
    return rate.is_rejecting != was_rejecting


def _excess(own: AttemptWeights, others: AttemptWeights) -> float:
    has_others = others.attempts > 0
    typical = others.rejections / others.attempts if has_others else 0
    return estimate_rate(own, typical) - typical


def _other_weights(
    state: PlacementState, view: ServerView, now: Nanoseconds
) -> AttemptWeights:
    """Return the weights of the other servers of the service of a server."""
    service = state.rejections.get(view.server.service, RejectionRate())
    weights = current_weights(service, now)
    own = current_weights(view.rejections, now)
    attempts = max(0, weights.attempts - own.attempts)
    # Rounding must not leave more rejections than attempts.
    rejections = min(attempts, max(0, weights.rejections - own.rejections))
    return AttemptWeights(attempts, rejections)
