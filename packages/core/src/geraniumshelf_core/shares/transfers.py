"""Transfers of tokens between daemons, for requests that wait.

The callers of a small account may send a few requests at once to one daemon,
whose share of the burst is a token or two, while the other daemons hold the
rest. A token leaves its bucket before it is spent elsewhere, and a token that
arrives late is dropped, so the total of all daemons stays within the limit. In
a large fleet the owner of the account, which holds nearly all of its tokens, is
asked first.
"""

from enum import Enum, unique
from math import floor
from typing import Final

from attrs import define

from geraniumshelf_core.shares.bucket import refill
from geraniumshelf_core.shares.quotas import AccountQuotas
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# A request waits for a token for at most this fraction of its target latency,
# and at most for the maximum wait. An account at its limit would otherwise get
# all of its responses late instead of some refusals.
_WAIT_FRACTION: Final = 0.25
_MAX_WAIT_MS: Final = 300
MAX_WAIT_NS: Final[Nanoseconds] = _MAX_WAIT_MS * MILLISECOND_NS
# The other regions are asked this long after the own region: three round trips
# between two zones.
_REQUEST_INTERVAL_MS: Final = 30
REQUEST_INTERVAL_NS: Final[Nanoseconds] = _REQUEST_INTERVAL_MS * MILLISECOND_NS
# After that, no daemon is asked for the longest round trip between regions.
_REMOTE_TIMEOUT_NS: Final[Nanoseconds] = 100 * MILLISECOND_NS
# The owner of an account may be in another region and busy.
_OWNER_TIMEOUT_MS: Final = 150
OWNER_TIMEOUT_NS: Final[Nanoseconds] = _OWNER_TIMEOUT_MS * MILLISECOND_NS
# After a request has waited without getting a token, further requests are
# refused immediately for this time.
_REFUSAL_PERIOD_MS: Final = 500
_REFUSAL_PERIOD_NS: Final[Nanoseconds] = _REFUSAL_PERIOD_MS * MILLISECOND_NS
# A daemon reserves the tokens that its own callers use in this time, seconds.
_RESERVE_S: Final = 0.3


@unique
class TokenScope(Enum):
    """Daemons to request tokens from."""

    NOBODY = 'nobody'
    OWNER = 'owner'
    REGION = 'region'
    OTHER_REGIONS = 'other regions'


@define
class WaitingRequests:
    """Requests of one account that wait for a token.

    Attributes:
        count: Number of waiting requests.
        granted: Tokens that other daemons have granted for them.
        pending_scope: Daemons that were asked last and have not replied.
        requested_at: Time at which they were asked.
        refuse_until: Time until which a wait is expected to yield no token.
        refused_priority: Priority of the requests to which this applies, and
            of less urgent ones.
        owner_pending: Tokens requested from the owner without a reply so far.
        owner_requested_at: Time of the last request to the owner.
        owner_retry_at: Time before which the owner has no more tokens.
        is_owner_silent: Whether the owner did not reply to the last requests.
    """

    count: int = 0
    granted: int = 0
    pending_scope: TokenScope = TokenScope.NOBODY
    requested_at: Nanoseconds = 0
    refuse_until: Nanoseconds = 0
    refused_priority: int = 0
    owner_pending: int = 0
    owner_requested_at: Nanoseconds = 0
    owner_retry_at: Nanoseconds = 0
    is_owner_silent: bool = False


def max_token_wait(target: Nanoseconds) -> Nanoseconds:
    """Return how long a request may wait for a token.

    Args:
        target: Target latency of the response to the request.
    """
    return min(MAX_WAIT_NS, round(target * _WAIT_FRACTION))


def should_refuse(
    waiting: WaitingRequests, now: Nanoseconds, priority: int = 0
) -> bool:
    """Return whether to refuse a request immediately.

    An account at its limit would otherwise always have a queue, and each of its
    responses would be late by the wait. A request that is more urgent than
    those that got no token gets the next one, so it may wait.
    """
    return now < waiting.refuse_until and priority >= waiting.refused_priority


def begin_token_request(
    waiting: WaitingRequests, now: Nanoseconds
) -> TokenScope:
    """Return which daemons to ask now, and record the request.

    The own region is asked first, because tokens that no request waits for are
    lost.
    """
    elapsed = now - waiting.requested_at
    match waiting.pending_scope:
        case TokenScope.REGION if elapsed >= REQUEST_INTERVAL_NS:
            scope = TokenScope.OTHER_REGIONS
        case TokenScope.NOBODY:
            scope = TokenScope.REGION
        case TokenScope.OTHER_REGIONS if elapsed >= _REMOTE_TIMEOUT_NS:
            scope = TokenScope.REGION
        case _:
            return TokenScope.NOBODY
    waiting.pending_scope = scope
    waiting.requested_at = now
    return scope


def begin_owner_request(waiting: WaitingRequests, now: Nanoseconds) -> int:
    """Return how many tokens to request from the owner, and record it.

    Tokens are requested for each waiting request immediately. A request that
    first waited for the reply to another one would wait twice as long.
    """
    if (
        waiting.owner_pending
        and now - waiting.owner_requested_at >= OWNER_TIMEOUT_NS
    ):
        # The request or its reply is lost.
        waiting.owner_pending = 0
        waiting.is_owner_silent = True
    if now < waiting.owner_retry_at:
        return 0
    wanted = max(0, waiting.count - waiting.granted - waiting.owner_pending)
    if wanted:
        waiting.owner_pending += wanted
        waiting.owner_requested_at = now
    return wanted


def grant_tokens(
    quotas: AccountQuotas,
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
        wanted: Tokens that the other daemon requests.
        now: Current time.
        is_owner: Whether this daemon owns the account; its own callers have no
            priority over those of other daemons in that case.

    Returns:
        The tokens taken. A daemon that is not the owner reserves the tokens
        that its own callers need soon.
    """
    share = quotas.shares.get(account)
    if share is None:
        return 0
    refill(share.bucket, now)
    reserve = 0 if is_owner else share.demand * _RESERVE_S
    spare = floor(share.bucket.tokens - reserve)
    granted = max(0, min(wanted, spare))
    share.bucket.tokens -= granted
    return granted


def accept_tokens(
    waiting: WaitingRequests,
    tokens: int,
    requested_at: Nanoseconds,
    now: Nanoseconds,
) -> int:
    """Add granted tokens for the waiting requests; return the unused ones.

    Tokens that arrive late are dropped.
    """
    unused = 0
    if now - requested_at <= MAX_WAIT_NS:
        taken = min(tokens, max(0, waiting.count - waiting.granted))
        unused = tokens - taken
        waiting.granted += taken
        waiting.pending_scope = TokenScope.NOBODY
        waiting.owner_pending = max(0, waiting.owner_pending - tokens)
        waiting.is_owner_silent = False
    return unused


def record_owner_wait(
    waiting: WaitingRequests,
    wait: Nanoseconds,
    max_wait: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Record the time until the owner has more tokens.

    Args:
        waiting: The requests that wait.
        wait: Time until the owner has another token.
        max_wait: Time for which a request may still wait.
        now: Current time.
    """
    waiting.owner_pending = 0
    # The owner may receive tokens from another daemon, or be replaced, before
    # that.
    waiting.owner_retry_at = now + min(wait, _REFUSAL_PERIOD_NS)
    if wait > max_wait:
        waiting.refuse_until = now + min(wait, _REFUSAL_PERIOD_NS)
        waiting.refused_priority = 0


def expire_wait(
    waiting: WaitingRequests,
    now: Nanoseconds,
    priority: int = 0,
    *,
    has_owner: bool = False,
) -> None:
    """Record that a request got no token in time.

    With an owner, only the owner knows whether there are no tokens; its reply
    may just be late.
    """
    waiting.pending_scope = TokenScope.NOBODY
    if not has_owner:
        if now >= waiting.refuse_until:
            waiting.refused_priority = priority
        waiting.refused_priority = min(waiting.refused_priority, priority)
        waiting.refuse_until = now + _REFUSAL_PERIOD_NS
