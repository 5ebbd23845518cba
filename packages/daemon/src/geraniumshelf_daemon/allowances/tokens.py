"""Tokens of single requests: taken here, awaited, or fetched from owners."""

import asyncio
import math
from collections import Counter, defaultdict
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.queries import token_loans_out
from geraniumshelf_core.allowance.state import TOKEN_TERM, Loan
from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.messages.allowance import (
    LoanReturn,
    TokenGrant,
    TokenRequest,
    TokenSettled,
)
from geraniumshelf_core.units import (
    MICRO_TOKENS,
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.allowances.demand import Demand
from geraniumshelf_daemon.allowances.shares import Shares
from geraniumshelf_daemon.peers.interface import PeerNetwork

LONGEST_WAIT: Final[Nanoseconds] = 100 * MILLISECOND_NS

# Covers a round trip between regions and a retransmission.
_ROUND_TRIP_MS: Final = 250

# Prefetched tokens that nobody used go back before their term ends.
_RETURN_BEFORE_MS: Final = 400

# All prefetch together stays within this part of the burst.
_PREFETCH_DIVISOR: Final = 8


@define(eq=False)
class TokenDesk:
    """Takes tokens for requests and lends them to other daemons."""

    _shares: Shares
    _network: PeerNetwork
    _reserved: Counter[str] = Factory(Counter)
    _asked: Counter[str] = Factory(Counter)
    _used: defaultdict[str, Counter[int]] = Factory(
        lambda: defaultdict(Counter)
    )
    _demand: defaultdict[str, Demand] = Factory(lambda: defaultdict(Demand))
    _fetches: dict[str, asyncio.Task[bool]] = Factory(dict)

    def __attrs_post_init__(self) -> None:
        self._network.register(TokenRequest, self._lend)
        self._network.register(TokenSettled, self._settle)

    async def acquire(self, account: str, quarter: Nanoseconds) -> bool:
        """Take a token.

        Args:
            account: Account name.
            quarter: Longest time that this may take, nanoseconds.
        """
        self._demand[account].count(self._shares.clock())
        if self._take(account):
            self._prefetch(account)
            return True
        wait = min(LONGEST_WAIT, quarter)
        for owner in self._shares.owners(account, self._shares.instance):
            if owner == self._shares.instance:
                is_taken = await self._wait(account, wait)
                is_taken = is_taken and self._take(account, is_queued=True)
            else:
                await self._fetch(account, owner, 1, wait, quarter)
                # After a refusal, a token may have come with another answer.
                is_taken = self._take(account)
            if is_taken:
                return True
            wait = 0
        return False

    def retry_after_s(self, account: str) -> int:
        """Return seconds after which a token may be there, at least 1."""
        bucket = self._shares.limit(account).bucket
        waiting = self._reserved[account] + 1
        delay = bucket.time_until(waiting * MICRO_TOKENS)
        return max(1, math.ceil(ns_to_seconds(delay or 0)))

    def flush(self) -> None:
        """Report used tokens; return prefetched ones that stay unused."""
        for peer in tuple(self._used):
            self._network.notify(peer, TokenSettled(self._pop_used(peer)))
        now = self._shares.clock()
        soon = now + _RETURN_BEFORE_MS * MILLISECOND_NS
        for limit in self._shares.book.limits.values():
            ending = [
                loan
                for loan in limit.borrowed
                if loan.is_token and loan.ends_at < soon
            ]
            for loan in ending:
                tokens = commands.give_back(limit, loan, now)
                if tokens is not None:
                    note = LoanReturn(((loan.loan_id, tokens),))
                    self._network.notify(loan.peer, note)

    def _take(self, account: str, *, is_queued: bool = False) -> bool:
        if self._reserved[account] and not is_queued:
            return False
        limit = self._shares.limit(account)
        taken = commands.take(limit, self._shares.clock())
        if isinstance(taken, Loan):
            self._used[taken.peer][taken.loan_id] += 1
        return taken is not False

    async def _wait(self, account: str, longest: Nanoseconds) -> bool:
        """Wait in order of arrival until a token is there."""
        clock = self._shares.clock
        give_up_at = clock() + longest
        bucket = self._shares.limit(account).bucket
        commands.advance(self._shares.limit(account), clock())
        self._reserved[account] += 1
        try:
            delay = bucket.time_until(self._reserved[account] * MICRO_TOKENS)
            while delay is not None and clock() + delay <= give_up_at:
                if delay == 0:
                    return True
                await asyncio.sleep(ns_to_seconds(max(delay, MILLISECOND_NS)))
                commands.advance(self._shares.limit(account), clock())
                delay = bucket.time_until(MICRO_TOKENS)
            return False
        finally:
            self._reserved[account] -= 1

    async def _fetch(
        self,
        account: str,
        owner: str,
        count: int,
        wait: Nanoseconds,
        quarter: Nanoseconds,
    ) -> bool:
        tag = self._shares.tag_of.get(account)
        if tag is None:
            return False
        ends_at = self._shares.clock() + TOKEN_TERM
        prefetch = self._wanted(account)
        request = TokenRequest(
            tag,
            count,
            prefetch,
            wait // MILLISECOND_NS,
            self._pop_used(owner),
        )
        timeout = min(quarter, wait + _ROUND_TRIP_MS * MILLISECOND_NS)
        self._asked[account] += prefetch
        try:
            grant = await self._network.request(owner, request, timeout)
        except PeerError:
            return False
        finally:
            self._asked[account] -= prefetch
        amount: int = grant.count * MICRO_TOKENS
        loan = Loan(grant.loan, owner, 0, amount, ends_at, is_token=True)
        if amount > 0:
            now = self._shares.clock()
            commands.accept(self._shares.limit(account), loan, amount, now)
        return amount > 0

    def _wanted(self, account: str) -> int:
        burst = self._shares.accounts[account].burst
        demand = self._demand[account].expected(self._shares.clock())
        wanted = min(demand, burst // _PREFETCH_DIVISOR)
        held = self._shares.limit(account).bucket.tokens // MICRO_TOKENS
        return max(0, wanted - held - self._asked[account])

    def _prefetch(self, account: str) -> None:
        owners = self._shares.owners(account, self._shares.instance)
        if not owners or owners[0] == self._shares.instance:
            return
        task = self._fetches.get(account)
        if (task is None or task.done()) and self._wanted(account) > 1:
            self._fetches[account] = asyncio.create_task(
                self._fetch(account, owners[0], 0, 0, SECOND_NS)
            )

    async def _lend(self, peer: str, request: TokenRequest) -> TokenGrant:
        await self._settle(peer, TokenSettled(request.settled))
        account = self._shares.tags.get(request.account)
        if account is None:
            return TokenGrant(0, 0, 0)
        wait = min(LONGEST_WAIT, request.wait_ms * MILLISECOND_NS)
        if request.count and not await self._wait(account, wait):
            return TokenGrant(0, 0, self.retry_after_s(account))
        spare = min(request.prefetch, self._spare(account, request.count))
        now = self._shares.clock()
        for count in dict.fromkeys((request.count + spare, request.count)):
            if count > 0:
                grant = commands.lend_tokens(
                    self._shares.book, account, peer, count, now
                )
                if grant is not None:
                    return TokenGrant(grant.loan.loan_id, count, 0)
        return TokenGrant(0, 0, 0)

    def _spare(self, account: str, count: int) -> int:
        """Return tokens that may be lent beyond those needed now."""
        limit = self._shares.limit(account)
        burst = self._shares.accounts[account].burst * MICRO_TOKENS
        room = burst // _PREFETCH_DIVISOR - token_loans_out(limit)
        above_half = limit.bucket.tokens - limit.bucket.capacity // 2
        spare = min(room, above_half - count * MICRO_TOKENS)
        return max(0, spare // MICRO_TOKENS)

    async def _settle(self, peer: str, message: TokenSettled) -> None:
        now = self._shares.clock()
        for number, count in message.settled:
            for limit in self._shares.book.limits.values():
                used = max(0, count) * MICRO_TOKENS
                commands.settle(limit, peer, number, used, now)

    def _pop_used(self, peer: str) -> tuple[tuple[int, int], ...]:
        return tuple(self._used.pop(peer, Counter[int]()).items())
