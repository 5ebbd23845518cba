"""Queues requests until their client account has a token."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.shares.messages import TokenGrant
from geraniumshelf_core.shares.owners import deposit_tokens
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    take_token,
    time_to_admission,
)
from geraniumshelf_core.shares.transfers import (
    MAX_WAIT_NS,
    OWNER_TIMEOUT_NS,
    REQUEST_INTERVAL_NS,
    TokenScope,
    WaitingRequests,
    accept_tokens,
    begin_owner_request,
    begin_token_request,
    expire_wait,
    max_token_wait,
    record_owner_wait,
    should_refuse,
)
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)

# Minimum time after which a waiting request checks its token bucket again.
_MIN_POLL_INTERVAL_NS: Final[Nanoseconds] = 10 * MILLISECOND_NS


@frozen
class TokenDemand:
    """Tokens to request from other daemons.

    Attributes:
        account: Client account.
        wanted: Number of tokens that requests are waiting for.
        scope: Daemons that get the request.
    """

    account: str
    wanted: int
    scope: TokenScope


@define(eq=False)
class _Queue:
    """Waiting requests of one account.

    Attributes:
        waiting: Number of requests and the tokens granted to them.
        granted: Set when tokens from another daemon arrive.
    """

    waiting: WaitingRequests = field(factory=WaitingRequests)
    granted: asyncio.Event = field(factory=asyncio.Event)


def _never_owned(_account: str) -> bool:
    return False


class AccountTokens:
    """Token buckets of client accounts, from which requests take tokens.

    Args:
        quotas: Shares of this daemon.
        clock: Returns the current time, nanoseconds.
        request_tokens: Requests tokens of an account from other daemons.
        has_owner: Returns whether another daemon owns an account, that is,
            pools its shares.
    """

    def __init__(
        self,
        quotas: AccountQuotas,
        clock: Callable[[], Nanoseconds],
        request_tokens: Callable[[TokenDemand, Nanoseconds], None],
        has_owner: Callable[[str], bool] = _never_owned,
    ) -> None:
        self._has_owner = has_owner
        self._quotas = quotas
        self._clock = clock
        self._request_tokens = request_tokens
        self._queues: dict[str, _Queue] = {}

    async def acquire(self, account: str, target_latency: Nanoseconds) -> bool:
        """Acquire a token for a request, waiting for a short time if needed.

        Args:
            account: Client account.
            target_latency: Time within which the response is on time.

        Returns:
            Whether the request got a token.
        """
        now = self._clock()
        if admit(self._quotas, account, now):
            return True
        queue = self._queues.setdefault(account, _Queue())
        waiting = queue.waiting
        if should_refuse(waiting, now):
            return False
        max_wait = max_token_wait(target_latency)
        waiting.count += 1
        try:
            return await self._wait(account, queue, now + max_wait)
        finally:
            waiting.count -= 1

    def receive_grant(self, grant: TokenGrant) -> None:
        """Give tokens that another daemon granted to waiting requests."""
        queue = self._queues.setdefault(grant.account, _Queue())
        now = self._clock()
        surplus = accept_tokens(
            queue.waiting, grant.granted, grant.requested_at, now
        )
        deposit_tokens(self._quotas, grant.account, surplus, now)
        if grant.wait:
            record_owner_wait(queue.waiting, grant.wait, MAX_WAIT_NS, now)
        queue.granted.set()

    def time_to_token(self, account: str) -> Nanoseconds:
        """Return the time until an account without tokens has one again."""
        queue = self._queues.get(account)
        if queue is None or not self._has_owner(account):
            return time_to_admission(self._quotas, account)
        owner_wait = queue.waiting.owner_retry_at - self._clock()
        return max(owner_wait, OWNER_TIMEOUT_NS)

    async def _wait(
        self, account: str, queue: _Queue, deadline: Nanoseconds
    ) -> bool:
        waiting = queue.waiting
        while True:
            now = self._clock()
            if waiting.granted:
                waiting.granted -= 1
                return True
            if take_token(self._quotas, account, now):
                return True
            if should_refuse(waiting, now):
                return False
            if now >= deadline:
                has_owner = self._has_owner(account)
                expire_wait(waiting, now, has_owner=has_owner)
                return False
            poll_interval = min(
                deadline - now, self._request_from_others(account, waiting, now)
            )
            queue.granted.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(ns_to_seconds(poll_interval)):
                    await queue.granted.wait()

    def _request_from_others(
        self, account: str, waiting: WaitingRequests, now: Nanoseconds
    ) -> Nanoseconds:
        """Request tokens; return the time until the next request."""
        has_owner = self._has_owner(account)
        if has_owner:
            wanted = begin_owner_request(waiting, now)
            if wanted:
                demand = TokenDemand(account, wanted, TokenScope.OWNER)
                self._request_tokens(demand, now)
        if has_owner and not waiting.is_owner_silent:
            return OWNER_TIMEOUT_NS
        scope = begin_token_request(waiting, now)
        if scope is not TokenScope.NOBODY:
            self._request_tokens(
                TokenDemand(account, waiting.count, scope), now
            )
        next_token = time_to_admission(self._quotas, account)
        return min(max(next_token, _MIN_POLL_INTERVAL_NS), REQUEST_INTERVAL_NS)
