"""Tokens that one daemon hands to another for requests that wait.

Answers small accounts whose callers send a few requests at once to one daemon:
its part of the burst is a token or two, while the other daemons hold the rest.
A token leaves its bucket before it is spent elsewhere, and one that comes late
is dropped, so the sum of all daemons stays within the limit. In a large fleet
the owner of the account is asked first, which holds nearly all of them.
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
# The other regions are asked this long after the own one, which is three times
# the way between two zones and back.
_ASK_INTERVAL_MS: Final = 30
ASK_INTERVAL_NS: Final[Nanoseconds] = _ASK_INTERVAL_MS * MILLISECOND_NS
# After that, for the longest way between regions and back, nobody is asked.
_FAR_ANSWER_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# After a wait in vain later requests are refused at once for this time.
_DRY_MS: Final = 500
_DRY_NS: Final[Nanoseconds] = _DRY_MS * MILLISECOND_NS
# A daemon keeps what its own callers take in this time, seconds.
_KEPT_S: Final = 0.3


@unique
class Reach(Enum):
    """Whom to ask for tokens."""

    NOBODY = 'nobody'
    OWNER = 'owner'
    REGION = 'region'
    OTHER_REGIONS = 'other regions'


@define
class Waiting:
    """Requests of one account that wait for a token.

    Attributes:
        count: How many wait.
        granted: Tokens that other daemons handed over for them.
        asked: Who was asked last and has not answered.
        asked_at: Time of that question.
        dry_until: Time until which waiting is taken to be in vain.
        ask_after: Time before which the owner has no more tokens.
    """

    count: int = 0
    granted: int = 0
    asked: Reach = Reach.NOBODY
    asked_at: Nanoseconds = 0
    dry_until: Nanoseconds = 0
    ask_after: Nanoseconds = 0


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


def begin_question(
    waiting: Waiting, now: Nanoseconds, *, has_owner: bool = False
) -> Reach:
    """Return whom to ask now, and take note of it.

    The own region is asked first; tokens that come for nobody are lost.

    Args:
        waiting: The requests that wait.
        now: Current time.
        has_owner: Whether another daemon gathers the account. Others are
            asked only if it does not answer.
    """
    age = now - waiting.asked_at
    first = Reach.OWNER if has_owner else Reach.REGION
    match waiting.asked:
        case Reach.NOBODY if now >= waiting.ask_after:
            reach = first
        case Reach.OWNER if age >= _FAR_ANSWER_NS:
            reach = Reach.REGION
        case Reach.REGION if age >= ASK_INTERVAL_NS:
            reach = Reach.OTHER_REGIONS
        case Reach.OTHER_REGIONS if age >= _FAR_ANSWER_NS:
            reach = first
        case _:
            return Reach.NOBODY
    waiting.asked = reach
    waiting.asked_at = now
    return reach


def hand_out(
    quotas: Quotas,
    account: str,
    wanted: int,
    now: Nanoseconds,
    *,
    is_owner: bool = False,
) -> int:
    """Take tokens out of the own bucket for another daemon.

    Args:
        quotas: Shares of this daemon.
        account: Client account.
        wanted: Tokens that the other daemon asks for.
        now: Current time.
        is_owner: Whether this daemon gathers the account; its own callers
            come before no others then.

    Returns:
        How many; a daemon that isn't the owner keeps what its own callers
        need soon.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    refill(share.bucket, now)
    kept = 0 if is_owner else share.demand * _KEPT_S
    spare = floor(share.bucket.tokens - kept)
    given = max(0, min(wanted, spare))
    share.bucket.tokens -= given
    return given


def accept(
    waiting: Waiting, tokens: int, asked_at: Nanoseconds, now: Nanoseconds
) -> None:
    """Take over tokens for the requests that wait; the rest is dropped."""
    if now - asked_at <= MOST_WAIT_NS:
        waiting.granted = min(waiting.count, waiting.granted + tokens)
        waiting.asked = Reach.NOBODY


def defer(
    waiting: Waiting, wait: Nanoseconds, longest: Nanoseconds, now: Nanoseconds
) -> None:
    """Take note of what the owner says of the next tokens.

    Args:
        waiting: The requests that wait.
        wait: Time until the owner has another token.
        longest: Time that a request may still wait.
        now: Current time.
    """
    waiting.ask_after = now + wait
    if wait > longest:
        waiting.dry_until = now + min(wait, _DRY_NS)


def end_in_vain(waiting: Waiting, now: Nanoseconds) -> None:
    """Take note of a request that got no token in time."""
    waiting.dry_until = now + _DRY_NS
    waiting.asked = Reach.NOBODY
