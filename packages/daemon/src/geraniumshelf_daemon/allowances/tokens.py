"""Tokens for requests: taken here, awaited, or fetched from owners."""

import asyncio
from collections import Counter, defaultdict
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.state import TOKEN_TERM_NS, Loan
from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.messages.allowance import (
    LoanReturn,
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
from geraniumshelf_daemon.allowances.lender import PREFETCH_DIVISOR
from geraniumshelf_daemon.allowances.queue import LONGEST_WAIT, TokenQueue
from geraniumshelf_daemon.allowances.shares import Shares
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.peers.interface import PeerNetwork

# Covers a round trip between regions and a retransmission.
_ROUND_TRIP_MS: Final = 250

# Prefetched tokens that nobody used go back before their term ends.
_RETURN_BEFORE_MS: Final = 400

# Capacity of used tokens that is not yet settled refills nowhere: with 50 ms
# instead, in-rate refusals of a burst of 12 at 95% load of 60/s were 1.01%
# instead of 0.78%. For larger bursts it made no difference but took up to
# 1.4 KB/s.
_REPORT_MS: Final = 5
_BATCH_REPORT_MS: Final = 50

# Further requests for an account share a message: one message each took
# 8.8 KB/s at the owner of an account at five times a rate of 100/s.
_MOST_IN_FLIGHT: Final = 4

_LONGEST_PAUSE_MS: Final = 1000


@define(eq=False)
class TokenDesk:
    """Takes tokens for requests that arrive at this daemon."""

    _shares: Shares
    _network: PeerNetwork
    _queue: TokenQueue
    _asked: Counter[str] = Factory(Counter)
    _used: defaultdict[str, Counter[int]] = Factory(
        lambda: defaultdict(Counter)
    )
    _demand: defaultdict[str, Demand] = Factory(lambda: defaultdict(Demand))
    _batches: dict[tuple[str, str], asyncio.Task[None]] = Factory(dict)
    _waiting: Counter[tuple[str, str]] = Factory(Counter)
    _in_flight: defaultdict[tuple[str, str], asyncio.Semaphore] = Factory(
        lambda: defaultdict(lambda: asyncio.Semaphore(_MOST_IN_FLIGHT))
    )
    _borrowing: set[str] = Factory(set)
    _reports_due: set[int] = Factory(set)
    _fetches: dict[str, asyncio.Task[bool]] = Factory(dict)
    _full_until: dict[str, Nanoseconds] = Factory(dict)

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
        owner = self._shares.owner(account)
        if owner == self._shares.instance:
            count = await self._queue.wait(account, 1, wait)
            return count > 0 and self._take(account, is_queued=True)
        if owner is not None and not self._is_full(account):
            await self._join(account, owner, wait, quarter)
        # After a refusal, a token may have come with another answer.
        return self._take(account)

    def flush(self) -> None:
        """Return prefetched tokens that stay unused."""
        now = self._shares.clock()
        soon = now + _RETURN_BEFORE_MS * MILLISECOND_NS
        for account in tuple(self._borrowing):
            limit = self._shares.limit(account)
            if not any(loan.is_token for loan in limit.borrowed):
                self._borrowing.discard(account)
            ending = [
                loan
                for loan in limit.borrowed
                if loan.is_token and loan.ends_at < soon
            ]
            for loan in ending:
                tokens = commands.return_loan(limit, loan, now)
                if tokens is not None:
                    note = LoanReturn(((loan.loan_id, tokens),))
                    self._network.notify(loan.peer, note)

    def _report_soon(self, delay_ms: int) -> None:
        if delay_ms in self._reports_due:
            return
        self._reports_due.add(delay_ms)
        asyncio.get_running_loop().call_later(
            ns_to_seconds(delay_ms * MILLISECOND_NS),
            self._report_used,
            delay_ms,
        )

    def _report_used(self, delay_ms: int) -> None:
        self._reports_due.discard(delay_ms)
        for peer in tuple(self._used):
            self._network.notify(peer, TokenSettled(self._pop_used(peer)))

    async def _join(
        self,
        account: str,
        owner: str,
        wait: Nanoseconds,
        quarter: Nanoseconds,
    ) -> None:
        """Ask with the next message to an owner, for one token."""
        topic = (account, owner)
        if topic not in self._batches:
            self._batches[topic] = asyncio.create_task(
                self._ask_batch(topic, wait)
            )
        self._waiting[topic] += 1
        await asyncio.wait(
            [self._batches[topic]], timeout=ns_to_seconds(quarter)
        )

    async def _ask_batch(
        self, topic: tuple[str, str], wait: Nanoseconds
    ) -> None:
        async with self._in_flight[topic]:
            self._batches.pop(topic)
            count = self._waiting.pop(topic)
            await self._fetch(*topic, count, wait, SECOND_NS)

    def _take(self, account: str, *, is_queued: bool = False) -> bool:
        if self._queue.reserved[account] and not is_queued:
            return False
        limit = self._shares.limit(account)
        taken = commands.take(limit, self._shares.clock())
        if isinstance(taken, Loan):
            self._used[taken.peer][taken.loan_id] += 1
            known = self._shares.accounts.get(account)
            is_tight = known is not None and known.burst < known.rate_per_s
            self._report_soon(_REPORT_MS if is_tight else _BATCH_REPORT_MS)
        return taken is not False

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
        ends_at = self._shares.clock() + TOKEN_TERM_NS
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
        count_metric(Metric.TOKENS_REQUESTED, count + prefetch)
        try:
            grant = await self._network.request(owner, request, timeout)
        except PeerError:
            return False
        finally:
            self._asked[account] -= prefetch
        if grant.pause_ms > 0:
            pause = min(grant.pause_ms, _LONGEST_PAUSE_MS) * MILLISECOND_NS
            self._full_until[account] = self._shares.clock() + pause
        amount: int = grant.count * MICRO_TOKENS
        loan = Loan(grant.loan, owner, 0, amount, ends_at, is_token=True)
        if amount > 0:
            now = self._shares.clock()
            commands.accept(self._shares.limit(account), loan, amount, now)
            self._borrowing.add(account)
        return amount > 0

    def _is_full(self, account: str) -> bool:
        until = self._full_until.get(account, 0)
        return self._shares.clock() < until

    def _wanted(self, account: str) -> int:
        burst = self._shares.accounts[account].burst
        demand = self._demand[account].expected(self._shares.clock())
        wanted = min(demand, burst // PREFETCH_DIVISOR)
        held = self._shares.limit(account).bucket.tokens // MICRO_TOKENS
        return max(0, wanted - held - self._asked[account])

    def _prefetch(self, account: str) -> None:
        owner = self._shares.owner(account)
        if owner is None or owner == self._shares.instance:
            return
        task = self._fetches.get(account)
        if (task is None or task.done()) and self._wanted(account) > 1:
            self._fetches[account] = asyncio.create_task(
                self._fetch(account, owner, 0, 0, SECOND_NS)
            )

    def _pop_used(self, peer: str) -> tuple[tuple[int, int], ...]:
        return tuple(self._used.pop(peer, Counter[int]()).items())
