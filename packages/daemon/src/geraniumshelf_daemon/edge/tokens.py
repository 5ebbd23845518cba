"""Requests that wait for a token of their account."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.shares.messages import TokenGrant
from geraniumshelf_core.shares.owners import deposit_tokens
from geraniumshelf_core.shares.quotas import (
    Quotas,
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

# A waiting request looks at its bucket again after this time at the earliest.
_LEAST_PAUSE_NS: Final[Nanoseconds] = 10 * MILLISECOND_NS


@frozen
class TokenDemand:
    """What other daemons are asked for.

    Attributes:
        account: Client account.
        wanted: Tokens that requests wait for.
        scope: Whom to ask.
    """

    account: str
    wanted: int
    scope: TokenScope


@define(eq=False)
class _Queue:
    """Requests of one account.

    Attributes:
        waiting: Their number and tokens.
        granted: Set when tokens of another daemon arrive.
    """

    waiting: WaitingRequests = field(factory=WaitingRequests)
    granted: asyncio.Event = field(factory=asyncio.Event)


def _has_no_owner(_account: str) -> bool:
    return False


class AccountTokens:
    """Gives out the tokens of accounts to requests.

    Args:
        quotas: Shares of this daemon.
        clock: Returns the current time, nanoseconds.
        ask: Asks other daemons for tokens of an account.
        has_owner: Tells whether another daemon gathers an account.
    """

    def __init__(
        self,
        quotas: Quotas,
        clock: Callable[[], Nanoseconds],
        ask: Callable[[TokenDemand, Nanoseconds], None],
        has_owner: Callable[[str], bool] = _has_no_owner,
    ) -> None:
        self._has_owner = has_owner
        self._quotas = quotas
        self._clock = clock
        self._ask = ask
        self._queues: dict[str, _Queue] = {}

    async def acquire(self, account: str, target: Nanoseconds) -> bool:
        """Return whether a request got a token, after a short wait at most.

        Args:
            account: Client account.
            target: Time within which the answer is on time.
        """
        now = self._clock()
        if admit(self._quotas, account, now):
            return True
        queue = self._queues.setdefault(account, _Queue())
        waiting = queue.waiting
        if should_refuse(waiting, now):
            return False
        longest = max_token_wait(target)
        waiting.count += 1
        try:
            return await self._wait(account, queue, now + longest)
        finally:
            waiting.count -= 1

    def receive_grant(self, grant: TokenGrant) -> None:
        """Take over tokens that another daemon handed out."""
        queue = self._queues.setdefault(grant.account, _Queue())
        now = self._clock()
        left = accept_tokens(
            queue.waiting, grant.granted, grant.requested_at, now
        )
        deposit_tokens(self._quotas, grant.account, left, now)
        if grant.wait:
            record_owner_wait(queue.waiting, grant.wait, MAX_WAIT_NS, now)
        queue.granted.set()

    def time_to_token(self, account: str) -> Nanoseconds:
        """Return the time after which an account that was refused has one."""
        queue = self._queues.get(account)
        if queue is None or not self._has_owner(account):
            return time_to_admission(self._quotas, account)
        left = queue.waiting.owner_retry_at - self._clock()
        return max(left, OWNER_TIMEOUT_NS)

    async def _wait(
        self, account: str, queue: _Queue, until: Nanoseconds
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
            if now >= until:
                has_owner = self._has_owner(account)
                expire_wait(waiting, now, has_owner=has_owner)
                return False
            pause = min(until - now, self._ask_others(account, waiting, now))
            queue.granted.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(ns_to_seconds(pause)):
                    await queue.granted.wait()

    def _ask_others(
        self, account: str, waiting: WaitingRequests, now: Nanoseconds
    ) -> Nanoseconds:
        """Ask for tokens; return the time until the next question."""
        has_owner = self._has_owner(account)
        if has_owner:
            wanted = begin_owner_request(waiting, now)
            if wanted:
                question = TokenDemand(account, wanted, TokenScope.OWNER)
                self._ask(question, now)
        if has_owner and not waiting.is_owner_silent:
            return OWNER_TIMEOUT_NS
        reach = begin_token_request(waiting, now)
        if reach is not TokenScope.NOBODY:
            self._ask(TokenDemand(account, waiting.count, reach), now)
        next_token = time_to_admission(self._quotas, account)
        return min(max(next_token, _LEAST_PAUSE_NS), REQUEST_INTERVAL_NS)
