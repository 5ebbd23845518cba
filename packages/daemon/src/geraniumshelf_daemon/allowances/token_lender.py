"""Lending of tokens to daemons that are not the owner of an account."""

from typing import Final

from attrs import define

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.allowance.queries import token_loans_out
from geraniumshelf_core.messages.allowance import (
    TokenGrant,
    TokenRequest,
    TokenSettled,
)
from geraniumshelf_core.units import MICROS_PER_UNIT, MILLISECOND_NS
from geraniumshelf_daemon.allowances.local_limits import LocalLimits
from geraniumshelf_daemon.allowances.message_checks import (
    check_loan_amounts,
    check_non_negative,
)
from geraniumshelf_daemon.allowances.token_queue import MAX_WAIT_NS, TokenQueue
from geraniumshelf_daemon.peers.interface import PeerNetwork

# All prefetched tokens together stay within this fraction of the burst.
PREFETCH_DIVISOR: Final = 8

# A message for several requests of which some got no token means a flood. The
# sender then pauses, and the tokens of a tenth of a second stay in the bucket
# for the next requests.
_FLOOD_PAUSE_MS: Final = 100


@define(eq=False)
class TokenLender:
    """Handles the token requests of other daemons."""

    _limits: LocalLimits
    _network: PeerNetwork
    _queue: TokenQueue

    def __attrs_post_init__(self) -> None:
        self._network.register(TokenRequest, self._lend)
        self._network.register(TokenSettled, self._settle_loans)

    async def _lend(self, peer: str, request: TokenRequest) -> TokenGrant:
        check_non_negative((request.count, request.prefetch, request.wait_ms))
        await self._settle_loans(peer, TokenSettled(request.settled))
        account = self._limits.accounts_by_tag.get(request.account)
        if account is None:
            return TokenGrant(0, 0, 0)
        wait = min(MAX_WAIT_NS, request.wait_ms * MILLISECOND_NS)
        count = 0
        if request.count > 0:
            count = await self._queue.wait(account, request.count, wait)
        pause_ms = self._pause_ms(account, request.count, count)
        if count < request.count:
            return self._grant(account, peer, count, pause_ms)
        extra = min(request.prefetch, self._count_prefetchable(account, count))
        return self._grant(account, peer, count + max(0, extra), pause_ms)

    def _pause_ms(self, account: str, requested: int, count: int) -> int:
        if count >= requested:
            return 0
        if requested > 1:
            return _FLOOD_PAUSE_MS
        return self._queue.time_to_room_ms(account)

    def _grant(
        self, account: str, peer: str, max_count: int, pause_ms: int
    ) -> TokenGrant:
        """Lend the most tokens that are backed until the loan ends.

        Args:
            account: Account name.
            peer: Instance name of the borrower.
            max_count: Largest number of tokens to lend.
            pause_ms: Time for which the borrower need not ask again,
                milliseconds.
        """
        now = self._limits.clock()
        for count in range(max_count, 0, -1):
            grant = commands.lend_tokens(
                self._limits.ledger, account, peer, count, now
            )
            if grant is not None:
                return TokenGrant(grant.loan.loan_id, count, pause_ms)
        return TokenGrant(0, 0, pause_ms)

    def _count_prefetchable(self, account: str, count: int) -> int:
        """Return how many tokens may be lent beyond those needed now."""
        limit = self._limits.limit(account)
        burst = self._limits.accounts[account].burst * MICROS_PER_UNIT
        headroom = burst // PREFETCH_DIVISOR - token_loans_out(limit)
        above_half = limit.bucket.tokens - limit.bucket.capacity // 2
        extra = min(headroom, above_half - count * MICROS_PER_UNIT)
        return max(0, extra // MICROS_PER_UNIT)

    async def _settle_loans(self, peer: str, message: TokenSettled) -> None:
        check_loan_amounts(message.settled)
        now = self._limits.clock()
        for loan_id, count in message.settled:
            limit = self._limits.ledger.limits_by_loan_id.get(loan_id)
            if limit is not None:
                used = count * MICROS_PER_UNIT
                commands.settle(limit, peer, loan_id, used, now)
