"""A token bucket that starts empty.

Starting empty keeps a limit over any window also when a daemon is killed and
starts again within it: what the earlier run spent was refilled at the rate.
"""

from attrs import define

from geraniumshelf_core.units import SECOND_NS, Nanoseconds


@define
class ShareBucket:
    """One daemon's share of a rate.

    Attributes:
        rate: Tokens per second.
        capacity: Most tokens that it holds.
        tokens: Tokens now.
        filled_at: Time of the last refill.
    """

    rate: float
    capacity: float
    tokens: float = 0
    filled_at: Nanoseconds = 0


def resize(
    bucket: ShareBucket, rate: float, capacity: float, now: Nanoseconds
) -> None:
    """Change the share; a smaller capacity holds at once."""
    refill(bucket, now)
    bucket.rate = rate
    bucket.capacity = capacity
    bucket.tokens = min(bucket.tokens, capacity)


def refill(bucket: ShareBucket, now: Nanoseconds) -> None:
    """Add the tokens of the time since the last refill."""
    age = max(0, now - bucket.filled_at) / SECOND_NS
    bucket.tokens = min(bucket.capacity, bucket.tokens + age * bucket.rate)
    bucket.filled_at = now


def take(bucket: ShareBucket, now: Nanoseconds) -> bool:
    """Take a token if there is one."""
    refill(bucket, now)
    if bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def time_to_token(bucket: ShareBucket) -> Nanoseconds:
    """Return the time until the next token, at most a minute."""
    missing = max(0, 1 - bucket.tokens)
    longest = 60 * SECOND_NS
    if bucket.rate <= 0:
        return longest
    return min(longest, round(missing / bucket.rate * SECOND_NS))
