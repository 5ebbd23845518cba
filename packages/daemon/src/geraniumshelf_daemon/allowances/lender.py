"""Loans of tokens to daemons that do not own an account."""

from typing import Final

from attrs import define

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.queries import token_loans_out
from geraniumshelf_core.messages.allowance import (
    TokenGrant,
    TokenRequest,
    TokenSettled,
)
from geraniumshelf_core.units import MICRO_TOKENS, MILLISECOND_NS
from geraniumshelf_daemon.allowances.checks import (
    check_notes,
    check_numbers,
)
from geraniumshelf_daemon.allowances.queue import LONGEST_WAIT, TokenQueue
from geraniumshelf_daemon.allowances.shares import Shares
from geraniumshelf_daemon.peers.interface import PeerNetwork

# All prefetch together stays within this part of the burst.
PREFETCH_DIVISOR: Final = 8


@define(eq=False)
class TokenLender:
    """Answers token requests of other daemons."""

    _shares: Shares
    _network: PeerNetwork
    _queue: TokenQueue

    def __attrs_post_init__(self) -> None:
        self._network.register(TokenRequest, self._lend)
        self._network.register(TokenSettled, self._settle)

    async def _lend(self, peer: str, request: TokenRequest) -> TokenGrant:
        check_numbers((request.count, request.prefetch, request.wait_ms))
        await self._settle(peer, TokenSettled(request.settled))
        account = self._shares.tags.get(request.account)
        if account is None:
            return TokenGrant(0, 0, 0)
        wait = min(LONGEST_WAIT, request.wait_ms * MILLISECOND_NS)
        count = 0
        if request.count > 0:
            count = await self._queue.wait(account, request.count, wait)
            if count == 0:
                return TokenGrant(0, 0, self._queue.retry_after_s(account))
        spare = min(request.prefetch, self._spare(account, count))
        most = count + max(0, spare)
        return self._grant(account, peer, most)

    def _grant(self, account: str, peer: str, most: int) -> TokenGrant:
        """Lend as many tokens as are backed until the loan ends."""
        now = self._shares.clock()
        for count in range(most, 0, -1):
            grant = commands.lend_tokens(
                self._shares.book, account, peer, count, now
            )
            if grant is not None:
                return TokenGrant(grant.loan.loan_id, count, 0)
        return TokenGrant(0, 0, self._queue.retry_after_s(account))

    def _spare(self, account: str, count: int) -> int:
        """Return tokens that may be lent beyond those needed now."""
        limit = self._shares.limit(account)
        burst = self._shares.accounts[account].burst * MICRO_TOKENS
        room = burst // PREFETCH_DIVISOR - token_loans_out(limit)
        above_half = limit.bucket.tokens - limit.bucket.capacity // 2
        spare = min(room, above_half - count * MICRO_TOKENS)
        return max(0, spare // MICRO_TOKENS)

    async def _settle(self, peer: str, message: TokenSettled) -> None:
        check_notes(message.settled)
        now = self._shares.clock()
        for number, count in message.settled:
            limit = self._shares.book.lent_at.get(number)
            if limit is not None:
                used = count * MICRO_TOKENS
                commands.settle(limit, peer, number, used, now)
