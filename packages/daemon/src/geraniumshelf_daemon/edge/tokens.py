"""Queues requests until their client account has a token."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.shares.messages import TokenGrant
from geraniumshelf_core.shares.owners import (
    deposit_tokens,
    record_token_demand,
)
from geraniumshelf_core.shares.quotas import (
    AccountQuotas,
    admit,
    bucket_rate,
    take_token,
    time_to_admission,
)
from geraniumshelf_core.shares.retry_times import (
    RetryTimes,
    record_token,
    state_retry,
)
from geraniumshelf_core.shares.token_order import (
    TokenOrder,
    TokenPlace,
    join,
    leave,
    may_overtake,
    next_place,
    record_turn,
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
        wakers: Event of each waiting request, set when it should look for a
            token again.
        order: Order in which the requests get tokens.
        retries: Times stated to refused requests.
    """

    waiting: WaitingRequests = field(factory=WaitingRequests)
    wakers: dict[TokenPlace, asyncio.Event] = field(factory=dict)
    order: TokenOrder = field(factory=TokenOrder)
    retries: RetryTimes = field(factory=RetryTimes)

    def wake_next(self) -> None:
        """Wake the request that gets the next token."""
        place = next_place(self.order)
        if place is not None:
            self.wakers[place].set()

    def wake_all(self) -> None:
        """Wake all waiting requests."""
        for waker in self.wakers.values():
            waker.set()


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
        self._is_ordered = quotas.policies.orders_tokens
        self._queues: dict[str, _Queue] = {}

    async def acquire(
        self, account: str, target_latency: Nanoseconds, priority: int = 0
    ) -> bool:
        """Acquire a token for a request, waiting for a short time if needed.

        Args:
            account: Client account.
            target_latency: Time within which the response is on time.
            priority: Priority of the request, 0 is the highest.

        Returns:
            Whether the request got a token.
        """
        now = self._clock()
        if not self._is_ordered:
            priority = 0
        queue = self._queues.setdefault(account, _Queue())
        if self._admit(account, queue, priority, now):
            record_token(queue.retries, now)
            return True
        waiting = queue.waiting
        if should_refuse(waiting, now, priority):
            return False
        deadline = now + max_token_wait(target_latency)
        waiting.count += 1
        place = join(queue.order, priority)
        queue.wakers[place] = asyncio.Event()
        queue.wake_next()
        try:
            return await self._wait(account, queue, place, deadline)
        finally:
            waiting.count -= 1
            leave(queue.order, place)
            del queue.wakers[place]
            queue.wake_next()

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
        if self._is_ordered and not should_refuse(queue.waiting, now):
            queue.wake_next()
        else:
            queue.wake_all()

    def state_retry(self, account: str) -> Nanoseconds:
        """Return when a refused request should be sent again.

        Each refusal of an account gets the time of another token.
        """
        now = self._clock()
        queue = self._queues.setdefault(account, _Queue())
        wait = time_to_admission(self._quotas, account)
        if self._has_owner(account):
            owner_wait = queue.waiting.owner_retry_at - now
            wait = max(owner_wait, OWNER_TIMEOUT_NS)
        if not self._is_ordered:
            return wait
        rate = bucket_rate(self._quotas, account)
        return state_retry(queue.retries, wait, rate, now)

    def _admit(
        self, account: str, queue: _Queue, priority: int, now: Nanoseconds
    ) -> bool:
        if self._is_ordered and not may_overtake(queue.order, priority):
            record_token_demand(self._quotas, account, 1)
            return False
        return admit(self._quotas, account, now)

    async def _wait(
        self,
        account: str,
        queue: _Queue,
        place: TokenPlace,
        deadline: Nanoseconds,
    ) -> bool:
        waiting = queue.waiting
        while True:
            now = self._clock()
            if self._take_turn(account, queue, place, now):
                record_turn(queue.order, place)
                record_token(queue.retries, now)
                return True
            if should_refuse(waiting, now, place.priority):
                return False
            if now >= deadline:
                has_owner = self._has_owner(account)
                expire_wait(waiting, now, place.priority, has_owner=has_owner)
                return False
            poll_interval = min(
                deadline - now, self._request_from_others(account, waiting, now)
            )
            waker = queue.wakers[place]
            waker.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(ns_to_seconds(poll_interval)):
                    await waker.wait()

    def _take_turn(
        self,
        account: str,
        queue: _Queue,
        place: TokenPlace,
        now: Nanoseconds,
    ) -> bool:
        if self._is_ordered and next_place(queue.order) != place:
            return False
        if queue.waiting.granted:
            queue.waiting.granted -= 1
            return True
        return take_token(self._quotas, account, now)

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
