"""An exact token bucket in integer arithmetic."""

from typing import Final

from attrs import define

from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    SECOND_NS,
    Nanoseconds,
)

# Clocks may run fast by this much; the refill is reduced to match.
CLOCK_TOLERANCE_PPM: Final = 500

_REFILL_PPM: Final = PARTS_PER_MILLION - CLOCK_TOLERANCE_PPM
_FRACTIONS: Final = SECOND_NS * PARTS_PER_MILLION


@define
class Bucket:
    """Tokens that refill at a rate up to a capacity.

    Attributes:
        rate: Micro-tokens a second, before derating.
        capacity: Micro-tokens.
        tokens: Micro-tokens available.
        updated_at: Time of the last refill, nanoseconds.
        remainder: Refill below one micro-token, in units of 1e-15.
    """

    rate: int = 0
    capacity: int = 0
    tokens: int = 0
    updated_at: Nanoseconds = 0
    remainder: int = 0

    def refill(self, now: Nanoseconds) -> None:
        """Add what has come in since the last refill."""
        elapsed = max(0, now - self.updated_at)
        self.updated_at += elapsed
        grown = elapsed * self.rate * _REFILL_PPM + self.remainder
        self.tokens += grown // _FRACTIONS
        self.remainder = grown % _FRACTIONS
        self._clip()

    def resize(self, rate: int, capacity: int) -> None:
        """Change rate and capacity after a refill; drops what overflows."""
        self.rate = max(0, rate)
        self.capacity = max(0, capacity)
        self._clip()

    def add(self, tokens: int) -> None:
        """Add micro-tokens; drops what overflows."""
        self.tokens += tokens
        self._clip()

    def take(self, tokens: int) -> bool:
        """Take micro-tokens if they are all there."""
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def time_until(self, tokens: int) -> Nanoseconds | None:
        """Return the time until so many micro-tokens have come in.

        Capacity is left out: those who wait take tokens as they come.
        """
        missing = tokens - self.tokens
        if missing <= 0:
            return 0
        if self.rate == 0:
            return None
        needed = missing * _FRACTIONS - self.remainder
        return -(-needed // (self.rate * _REFILL_PPM))

    def _clip(self) -> None:
        if self.tokens >= self.capacity:
            self.tokens = self.capacity
            self.remainder = 0
