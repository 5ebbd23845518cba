"""Open-loop arrivals and the admissions of an ideal central bucket."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from attrs import define


def poisson_times(
    rate_per_s: float, seconds: float, random: Random
) -> list[float]:
    """Return random arrival times, seconds from the start."""
    times = []
    time = random.expovariate(rate_per_s)
    while time < seconds:
        times.append(time)
        time += random.expovariate(rate_per_s)
    return times


async def send_at(
    times: Sequence[float], send: Callable[[], Awaitable[object]]
) -> None:
    """Start a call at each time, whether earlier ones have ended or not."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    running = []
    for time in times:
        await asyncio.sleep(max(0, start + time - loop.time()))
        running.append(asyncio.ensure_future(send()))
    await asyncio.gather(*running)


@define
class CentralBucket:
    """One ideal token bucket for the whole fleet."""

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float = 0

    def admit(self, at: float) -> bool:
        """Take a token if there is one.

        Args:
            at: Time of the arrival, seconds, never earlier than before.
        """
        elapsed = at - self.updated_at
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate_per_s)
        self.updated_at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
