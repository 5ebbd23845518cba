"""Open-loop arrivals and an ideal central token bucket."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from attrs import define


def poisson_arrival_times(
    rate_per_s: float, seconds: float, random: Random
) -> list[float]:
    """Return arrival times of a Poisson process, seconds from the start.

    Args:
        rate_per_s: Mean number of arrivals per second.
        seconds: Duration of the process.
        random: Source of the random intervals.
    """
    times = []
    time = random.expovariate(rate_per_s)
    while time < seconds:
        times.append(time)
        time += random.expovariate(rate_per_s)
    return times


async def send_at_times(
    times: Sequence[float], send: Callable[[], Awaitable[object]]
) -> None:
    """Start a call at each time, also while earlier calls are in flight.

    Args:
        times: Ascending times, seconds from now.
        send: Sends one request.
    """
    loop = asyncio.get_running_loop()
    start = loop.time()
    tasks = []
    for time in times:
        await asyncio.sleep(max(0, start + time - loop.time()))
        tasks.append(asyncio.ensure_future(send()))
    await asyncio.gather(*tasks)


@define
class CentralBucket:
    """An ideal token bucket that the whole fleet shares without delay."""

    rate_per_s: float
    burst: float
    tokens: float
    updated_at: float = 0

    def admit(self, at: float) -> bool:
        """Take a token if there is one.

        Args:
            at: Time of the arrival, seconds. It must not be earlier than in
                the previous call.

        Returns:
            Whether there was a token.
        """
        elapsed = at - self.updated_at
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate_per_s)
        self.updated_at = at
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
