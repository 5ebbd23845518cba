"""Rates at which servers reject requests although they are not full."""

from typing import Final

from attrs import define, frozen

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A fault that makes servers reject begins and ends at once, so attempts of a
# few seconds ago say little about the next one.
_HALF_LIFE_NS: Final[Nanoseconds] = SECOND_NS
# Assumed attempts at the expected rate, which are added to those that were
# seen. They keep single rejections from counting as a rate of 1.
PRIOR_ATTEMPTS: Final = 2


@frozen
class AttemptWeights:
    """Attempts and partial rejections, weighted by their age.

    Attributes:
        attempts: Attempts to which the server responded.
        rejections: Attempts that it rejected without being full.
    """

    attempts: float
    rejections: float


@define(eq=False)
class RejectionRate:
    """The rate of partial rejections of a server or of a service.

    Attributes:
        weights: Weights at the time of the last attempt.
        updated_at: Time of the last attempt.
        is_rejecting: Whether it was last reported as rejecting.
    """

    weights: AttemptWeights = AttemptWeights(0, 0)
    updated_at: Nanoseconds = 0
    is_rejecting: bool = False


def current_weights(rate: RejectionRate, now: Nanoseconds) -> AttemptWeights:
    """Return the weights of the attempts at a time."""
    age = max(0, now - rate.updated_at)
    fraction = 0.5 ** (age / _HALF_LIFE_NS)
    return AttemptWeights(
        rate.weights.attempts * fraction, rate.weights.rejections * fraction
    )


def count_attempt(
    rate: RejectionRate, now: Nanoseconds, *, is_rejected: bool
) -> None:
    """Count an attempt to which a server responded."""
    former = current_weights(rate, now)
    rate.weights = AttemptWeights(
        former.attempts + 1, former.rejections + is_rejected
    )
    rate.updated_at = now


def estimate_rate(weights: AttemptWeights, expected: float) -> float:
    """Return the estimated rate, which tends to the expected one.

    Args:
        weights: The attempts.
        expected: Rate that applies without any attempt.

    >>> estimate_rate(AttemptWeights(0, 0), 0.5)
    0.5
    >>> estimate_rate(AttemptWeights(6, 6), 0)
    0.75
    """
    return (weights.rejections + PRIOR_ATTEMPTS * expected) / (
        weights.attempts + PRIOR_ATTEMPTS
    )
