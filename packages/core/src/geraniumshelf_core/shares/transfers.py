"""Tokens that one daemon hands to another for requests that wait.

Answers small accounts whose callers send a few requests at once to one daemon:
its part of the burst is a token or two, while the other daemons hold the rest.
A token leaves its bucket before it is spent elsewhere, and one that comes late
is dropped, so the sum of all daemons stays within the limit.
"""

from enum import Enum, unique
from math import floor
from typing import Final

from attrs import define

from geraniumshelf_core.shares.bucket import refill
from geraniumshelf_core.shares.quotas import Quotas
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# A request waits at most this long for a token, and at most this part of the
# time within which its answer is on time: an account at its limit would
# otherwise get all its answers late instead of some refusals.
_WAIT_PART: Final = 0.25
_MOST_WAIT_MS: Final = 300
MOST_WAIT_NS: Final[Nanoseconds] = _MOST_WAIT_MS * MILLISECOND_NS
# One question for an account at a time, about as long as the longest way
# between regions and back.
ASK_INTERVAL_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# After a wait in vain later requests are refused at once for this time.
_DRY_MS: Final = 500
_DRY_NS: Final[Nanoseconds] = _DRY_MS * MILLISECOND_NS
# A daemon keeps what its own callers take in this time, seconds.
_KEPT_S: Final = 0.3


@unique
class Reach(Enum):
    """Whom to ask for tokens."""

    NOBODY = 'nobody'
    REGION = 'region'
    OTHER_REGIONS = 'other regions'


@define
class Waiting:
    """Requests of one account that wait for a token.

    Attributes:
        count: How many wait.
        granted: Tokens that other daemons handed over for them.
        asked_at: Time of the last question to other daemons.
        dry_until: Time until which waiting is taken to be in vain.
    """

    count: int = 0
    granted: int = 0
    asked_at: Nanoseconds | None = None
    dry_until: Nanoseconds = 0


def longest_wait(target: Nanoseconds) -> Nanoseconds:
    """Return how long a request may wait for a token.

    Args:
        target: Time within which its answer is on time.
    """
    return min(MOST_WAIT_NS, round(target * _WAIT_PART))


def is_hopeless(waiting: Waiting, now: Nanoseconds) -> bool:
    """Return whether a request should be refused at once.

    An account at its limit would otherwise keep a queue, and each of its
    answers would be late by the wait.
    """
    return now < waiting.dry_until


def begin_question(waiting: Waiting, now: Nanoseconds) -> Reach:
    """Return whom to ask now, and take note of it.

    The own region is asked first; tokens that come for nobody are lost.
    """
    asked_at = waiting.asked_at
    if asked_at is None or now - asked_at >= 2 * ASK_INTERVAL_NS:
        waiting.asked_at = now
        return Reach.REGION
    if now - asked_at >= ASK_INTERVAL_NS:
        waiting.asked_at = now
        return Reach.OTHER_REGIONS
    return Reach.NOBODY


def hand_out(
    quotas: Quotas, account: str, wanted: int, now: Nanoseconds
) -> int:
    """Take tokens out of the own bucket for another daemon.

    Returns:
        How many; this daemon keeps what its own callers need soon.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    refill(share.bucket, now)
    spare = floor(share.bucket.tokens - share.demand * _KEPT_S)
    given = max(0, min(wanted, spare))
    share.bucket.tokens -= given
    return given


def accept(
    waiting: Waiting, tokens: int, asked_at: Nanoseconds, now: Nanoseconds
) -> None:
    """Take over tokens for the requests that wait; the rest is dropped."""
    if now - asked_at <= MOST_WAIT_NS:
        waiting.granted = min(waiting.count, waiting.granted + tokens)


def end_in_vain(waiting: Waiting, now: Nanoseconds) -> None:
    """Take note of a request that got no token in time."""
    waiting.dry_until = now + _DRY_NS
