"""Delays the retries of a failed watch."""

import asyncio
from contextlib import suppress
from random import Random
from typing import Final

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A failed watch is retried after this time, or once a probe has a response.
_RETRY_DELAY_S: Final = 1.0
# A failed watch is retried without delay only once in this time.
_FAST_RETRY_INTERVAL_NS: Final[Nanoseconds] = 2 * SECOND_NS


class WatchRetries:
    """Delays the retries of one watch.

    Args:
        random: Adds jitter, so that daemons do not call at the same time.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._fast_retry_at: Nanoseconds = -_FAST_RETRY_INTERVAL_NS
        self._may_retry = asyncio.Event()

    def end_delay(self) -> None:
        """Let a delayed retry begin at once."""
        self._may_retry.set()

    async def wait(self, now: Nanoseconds, *, is_first: bool) -> None:
        """Wait until the watch may be retried.

        Args:
            now: Current time.
            is_first: Whether the call before the failed one had a response.
        """
        if is_first and now - self._fast_retry_at >= _FAST_RETRY_INTERVAL_NS:
            # Only the connection may have been lost; a new one may work.
            self._fast_retry_at = now
            return
        self._may_retry.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(
                _RETRY_DELAY_S * (1 + self._random.random())
            ):
                await self._may_retry.wait()
