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

# Several requests at once of which some got no token mean a flood: the tokens
# of a tenth of a second stay in the bucket for the next ones.
_PAUSE_MS: Final = 100


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
        pause_ms = self._pause_ms(account, request.count, count)
        if count < request.count:
            return self._grant(account, peer, count, pause_ms)
        spare = min(request.prefetch, self._spare(account, count))
        return self._grant(account, peer, count + max(0, spare), pause_ms)

    def _pause_ms(self, account: str, asked: int, count: int) -> int:
        if count >= asked:
            return 0
        if asked > 1:
            return _PAUSE_MS
        return self._queue.full_ms(account)

    def _grant(
        self, account: str, peer: str, most: int, pause_ms: int
    ) -> TokenGrant:
        """Lend as many tokens as are backed until the loan ends."""
        now = self._shares.clock()
        for count in range(most, 0, -1):
            grant = commands.lend_tokens(
                self._shares.book, account, peer, count, now
            )
            if grant is not None:
                return TokenGrant(grant.loan.loan_id, count, pause_ms)
        return TokenGrant(0, 0, pause_ms)

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
            limit = self._shares.book.limits_by_loan_id.get(number)
            if limit is not None:
                used = count * MICRO_TOKENS
                commands.settle(limit, peer, number, used, now)
