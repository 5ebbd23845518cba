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
MAX_WAIT_NS: Final[Nanoseconds] = _MOST_WAIT_MS * MILLISECOND_NS
# The other regions are asked this long after the own one, which is three times
# the way between two zones and back.
_ASK_INTERVAL_MS: Final = 30
REQUEST_INTERVAL_NS: Final[Nanoseconds] = _ASK_INTERVAL_MS * MILLISECOND_NS
# After that, for the longest way between regions and back, nobody is asked.
_FAR_ANSWER_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# The owner of an account may be in another region and busy.
_OWNER_ANSWER_MS: Final = 150
OWNER_TIMEOUT_NS: Final[Nanoseconds] = _OWNER_ANSWER_MS * MILLISECOND_NS
# After a wait in vain later requests are refused at once for this time.
_DRY_MS: Final = 500
_DRY_NS: Final[Nanoseconds] = _DRY_MS * MILLISECOND_NS
# A daemon keeps what its own callers take in this time, seconds.
_KEPT_S: Final = 0.3


@unique
class TokenScope(Enum):
    """Whom to ask for tokens."""

    NOBODY = 'nobody'
    OWNER = 'owner'
    REGION = 'region'
    OTHER_REGIONS = 'other regions'


@define
class WaitingRequests:
    """Requests of one account that wait for a token.

    Attributes:
        count: How many wait.
        granted: Tokens that other daemons handed over for them.
        asked: Who was asked last and has not answered.
        requested_at: Time of that question.
        dry_until: Time until which waiting is taken to be in vain.
        owed: Tokens that the owner was asked for and has not answered.
        owed_since: Time of the last of these questions.
        owner_retry_at: Time before which the owner has no more tokens.
        is_owner_silent: Whether the owner did not answer the last questions.
    """

    count: int = 0
    granted: int = 0
    asked: TokenScope = TokenScope.NOBODY
    requested_at: Nanoseconds = 0
    dry_until: Nanoseconds = 0
    owed: int = 0
    owed_since: Nanoseconds = 0
    owner_retry_at: Nanoseconds = 0
    is_owner_silent: bool = False


def max_token_wait(target: Nanoseconds) -> Nanoseconds:
    """Return how long a request may wait for a token.

    Args:
        target: Time within which its answer is on time.
    """
    return min(MAX_WAIT_NS, round(target * _WAIT_PART))


def should_refuse(waiting: WaitingRequests, now: Nanoseconds) -> bool:
    """Return whether a request should be refused at once.

    An account at its limit would otherwise keep a queue, and each of its
    answers would be late by the wait.
    """
    return now < waiting.dry_until


def begin_token_request(
    waiting: WaitingRequests, now: Nanoseconds
) -> TokenScope:
    """Return whom to ask now, and take note of it.

    The own region is asked first; tokens that come for nobody are lost.
    """
    age = now - waiting.requested_at
    match waiting.asked:
        case TokenScope.REGION if age >= REQUEST_INTERVAL_NS:
            reach = TokenScope.OTHER_REGIONS
        case TokenScope.NOBODY:
            reach = TokenScope.REGION
        case TokenScope.OTHER_REGIONS if age >= _FAR_ANSWER_NS:
            reach = TokenScope.REGION
        case _:
            return TokenScope.NOBODY
    waiting.asked = reach
    waiting.requested_at = now
    return reach


def begin_owner_request(waiting: WaitingRequests, now: Nanoseconds) -> int:
    """Return how many tokens to ask the owner of the account for now.

    Each request asks at once: one that waited for the answer to another would
    wait twice as long.
    """
    if waiting.owed and now - waiting.owed_since >= OWNER_TIMEOUT_NS:
        # The question or its answer is lost.
        waiting.owed = 0
        waiting.is_owner_silent = True
    if now < waiting.owner_retry_at:
        return 0
    wanted = max(0, waiting.count - waiting.granted - waiting.owed)
    if wanted:
        waiting.owed += wanted
        waiting.owed_since = now
    return wanted


def grant_tokens(
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


def accept_tokens(
    waiting: WaitingRequests,
    tokens: int,
    requested_at: Nanoseconds,
    now: Nanoseconds,
) -> int:
    """Take over tokens for the requests that wait; return how many are left.

    Tokens that come late are lost.
    """
    left = 0
    if now - requested_at <= MAX_WAIT_NS:
        taken = min(tokens, max(0, waiting.count - waiting.granted))
        left = tokens - taken
        waiting.granted += taken
        waiting.asked = TokenScope.NOBODY
        waiting.owed = max(0, waiting.owed - tokens)
        waiting.is_owner_silent = False
    return left


def record_owner_wait(
    waiting: WaitingRequests,
    wait: Nanoseconds,
    longest: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Take note of what the owner says of the next tokens.

    Args:
        waiting: The requests that wait.
        wait: Time until the owner has another token.
        longest: Time that a request may still wait.
        now: Current time.
    """
    waiting.owed = 0
    # The owner may get tokens from elsewhere, or be replaced, before that.
    waiting.owner_retry_at = now + min(wait, _DRY_NS)
    if wait > longest:
        waiting.dry_until = now + min(wait, _DRY_NS)


def expire_wait(
    waiting: WaitingRequests, now: Nanoseconds, *, has_owner: bool = False
) -> None:
    """Take note of a request that got no token in time.

    Only the owner knows if there are none; its answer may just be late.
    """
    waiting.asked = TokenScope.NOBODY
    if not has_owner:
        waiting.dry_until = now + _DRY_NS
