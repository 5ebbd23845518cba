"""Requests that wait for tokens of a bucket of this daemon."""

import asyncio
import math
from collections import Counter
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.allowance import commands
from geraniumshelf_core.units import (
    MICRO_TOKENS,
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.allowances.shares import Shares

# In-rate refusals at 95% load of an account with rate 60/s and burst 12 were
# 0.76%, 0.34% and 0.15% with 100, 200 and 300 ms.
_LONGEST_WAIT_MS: Final = 300
LONGEST_WAIT: Final[Nanoseconds] = _LONGEST_WAIT_MS * MILLISECOND_NS

# Wait of several requests that share a message when not all can get a token.
_SHORT_WAIT_MS: Final = 40
_SHORT_WAIT: Final[Nanoseconds] = _SHORT_WAIT_MS * MILLISECOND_NS


@define(eq=False)
class TokenQueue:
    """Lets requests wait in order of arrival for tokens sure to come.

    Attributes:
        reserved: Tokens that are waited for, by account.
    """

    _shares: Shares
    reserved: Counter[str] = Factory(Counter)

    def retry_after_s(self, account: str) -> int:
        """Return seconds after which a token may be there, at least 1."""
        bucket = self._shares.limit(account).bucket
        waiting = self.reserved[account] + 1
        delay = bucket.time_until(waiting * MICRO_TOKENS)
        return max(1, math.ceil(ns_to_seconds(delay or 0)))

    def full_ms(self, account: str) -> int:
        """Return the time until there is room for a further request."""
        bucket = self._shares.limit(account).bucket
        waiting = self.reserved[account] + 1
        delay = bucket.time_until(waiting * MICRO_TOKENS)
        return max(0, (delay or 0) - LONGEST_WAIT) // MILLISECOND_NS

    async def wait(self, account: str, count: int, longest: Nanoseconds) -> int:
        """Wait until tokens are there.

        Args:
            account: Account name.
            count: Tokens wanted.
            longest: Longest wait, nanoseconds.

        Returns:
            How many of them came in time.
        """
        clock = self._shares.clock
        give_up_at = clock() + longest
        bucket = self._shares.limit(account).bucket
        commands.advance(self._shares.limit(account), clock())
        obtainable = self._obtainable(account, count, longest)
        if obtainable < count:
            # The requests that cannot get a token learn it with this answer.
            longest = min(longest, _SHORT_WAIT)
            obtainable = self._obtainable(account, count, longest)
            give_up_at = clock() + longest
        count = obtainable
        ahead = self.reserved[account]
        self.reserved[account] += count
        try:
            delay = bucket.time_until((ahead + count) * MICRO_TOKENS)
            while count and delay is not None and clock() + delay <= give_up_at:
                if delay == 0:
                    return count
                await asyncio.sleep(ns_to_seconds(max(delay, MILLISECOND_NS)))
                commands.advance(self._shares.limit(account), clock())
                delay = bucket.time_until(count * MICRO_TOKENS)
            return min(count, bucket.tokens // MICRO_TOKENS)
        finally:
            self.reserved[account] -= count

    def _obtainable(
        self, account: str, count: int, longest: Nanoseconds
    ) -> int:
        """Return how many tokens are sure to come within a time."""
        bucket = self._shares.limit(account).bucket
        most = min(count, bucket.capacity // MICRO_TOKENS)
        for number in range(most, 0, -1):
            ahead = self.reserved[account] + number
            delay = bucket.time_until(ahead * MICRO_TOKENS)
            if delay is not None and delay <= longest:
                return number
        return 0
