"""Token bucket for a daemon's share of a rate limit.

The bucket starts empty, so that the limit holds over any window even if a
daemon is killed and restarted within it: the tokens that the previous run spent
have been refilled at the configured rate.
"""

from attrs import define

from geraniumshelf_core.units import SECOND_NS, Nanoseconds


@define
class ShareBucket:
    """Token bucket for one daemon's share of a rate.

    Attributes:
        rate: Tokens per second.
        capacity: Maximum number of tokens.
        tokens: Available tokens.
        filled_at: Time of the last refill.
    """

    rate: float
    capacity: float
    tokens: float = 0
    filled_at: Nanoseconds = 0


def resize(
    bucket: ShareBucket, rate: float, capacity: float, now: Nanoseconds
) -> None:
    """Set rate and capacity; discard tokens above the new capacity."""
    refill(bucket, now)
    bucket.rate = rate
    bucket.capacity = capacity
    bucket.tokens = min(bucket.tokens, capacity)


def refill(bucket: ShareBucket, now: Nanoseconds) -> None:
    """Add the tokens accrued since the last refill."""
    elapsed_s = max(0, now - bucket.filled_at) / SECOND_NS
    bucket.tokens = min(
        bucket.capacity, bucket.tokens + elapsed_s * bucket.rate
    )
    bucket.filled_at = now


def take(bucket: ShareBucket, now: Nanoseconds) -> bool:
    """Take a token; return whether one was available."""
    refill(bucket, now)
    if bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def time_to_token(bucket: ShareBucket) -> Nanoseconds:
    """Return the time until the next token, at most a minute."""
    missing = max(0, 1 - bucket.tokens)
    max_time = 60 * SECOND_NS
    if bucket.rate <= 0:
        return max_time
    return min(max_time, round(missing / bucket.rate * SECOND_NS))
