"""Exact token bucket in integer arithmetic."""

from typing import Final

from attrs import define

from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    SECOND_NS,
    Nanoseconds,
)

# Clocks may run fast by this much; the refill is reduced accordingly.
CLOCK_TOLERANCE_PPM: Final = 500

_REFILL_PPM: Final = PARTS_PER_MILLION - CLOCK_TOLERANCE_PPM
_REMAINDER_UNITS: Final = SECOND_NS * PARTS_PER_MILLION


@define
class Bucket:
    """Token bucket that refills at a rate up to a capacity.

    Attributes:
        rate: Micro-tokens per second, before the reduction for fast clocks.
        capacity: Micro-tokens.
        tokens: Micro-tokens available.
        updated_at: Time of the last refill, nanoseconds.
        remainder: Refill below one micro-token, in units of 1e-15 of it.
    """

    rate: int = 0
    capacity: int = 0
    tokens: int = 0
    updated_at: Nanoseconds = 0
    remainder: int = 0

    def refill(self, now: Nanoseconds) -> None:
        """Add the tokens accrued since the last refill."""
        elapsed = max(0, now - self.updated_at)
        self.updated_at += elapsed
        accrued = elapsed * self.rate * _REFILL_PPM + self.remainder
        self.tokens += accrued // _REMAINDER_UNITS
        self.remainder = accrued % _REMAINDER_UNITS
        self._clip()

    def resize(self, rate: int, capacity: int) -> None:
        """Set rate and capacity after a refill; drop tokens that overflow."""
        self.rate = max(0, rate)
        self.capacity = max(0, capacity)
        self._clip()

    def add(self, tokens: int) -> None:
        """Add micro-tokens; drop those that overflow."""
        self.tokens += tokens
        self._clip()

    def take(self, tokens: int) -> bool:
        """Take micro-tokens if all are available; return whether they were."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def time_until(self, tokens: int) -> Nanoseconds | None:
        """Return the time until that many micro-tokens have accrued.

        The capacity is ignored, because waiting requests take tokens as they
        arrive. ``None`` means that the bucket has no rate.
        """
        missing = tokens - self.tokens
        if missing <= 0:
            return 0
        if self.rate == 0:
            return None
        needed = missing * _REMAINDER_UNITS - self.remainder
        return -(-needed // (self.rate * _REFILL_PPM))

    def _clip(self) -> None:
        if self.tokens >= self.capacity:
            self.tokens = self.capacity
            self.remainder = 0
