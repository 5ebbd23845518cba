"""Trial of the allowances of nine daemons in virtual time.

Runs the allowance service with the network delays of the Association and
compares its admissions with those of two references that receive the same
arrivals: an ideal central bucket, and a static split of each limit over all
daemons. Prints one JSON object per scenario. All times are virtual and all
seeds are fixed.
"""

import argparse
import asyncio
import json
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import Factory, define

from geraniumshelf_core.allowance.bucket import Bucket
from geraniumshelf_core.configuration.model import (
    ClientAccount,
)
from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_core.units import MICROS_PER_UNIT, SECOND_NS
from geraniumshelf_standins.virtual_time import VirtualTimeLoop
from tools.trial.allowance_fleet import (
    DEADLINE_S,
    WARM_UP_S,
    ZONE_SLOTS,
    AllowanceFleet,
    build_configuration,
)


@define
class AdmissionCounts:
    """Admissions of one account after the warm-up.

    Attributes:
        arrivals: Number of requests.
        admitted: Requests that the service admitted.
        central_admitted: Requests that the central bucket admitted.
        static_admitted: Requests that the static split admitted.
        refused_in_rate: Requests that the central bucket admitted but the
            service refused.
        static_refused_in_rate: Requests that the central bucket admitted but
            the static split refused.
        waits: Time until the decision of the service for each request,
            seconds.
    """

    arrivals: int = 0
    admitted: int = 0
    central_admitted: int = 0
    static_admitted: int = 0
    refused_in_rate: int = 0
    static_refused_in_rate: int = 0
    waits: list[float] = Factory(list)


def _make_bucket(rate: int, burst: float) -> Bucket:
    size = round(burst * MICROS_PER_UNIT)
    return Bucket(rate * MICROS_PER_UNIT, size, size)


class AccountArrivals:
    """Sends the arrivals of one account to the service and both references.

    Args:
        fleet: Daemons with their allowance services.
        account: Client account that sends the requests.
        load_factor: Rate of the requests as a multiple of the account's rate.
        choose_daemon: Returns the daemon for a request, given the elapsed time
            in seconds and a source of random numbers.
        seed: Seed of the arrivals.
    """

    def __init__(
        self,
        fleet: AllowanceFleet,
        account: ClientAccount,
        load_factor: float,
        choose_daemon: Callable[[float, Random], str],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.account = account
        self.load_factor = load_factor
        self.choose_daemon = choose_daemon
        self.random = Random(f'{seed} {account.name}')
        self.counts = AdmissionCounts()
        count = len(fleet.names)
        self.central_bucket = _make_bucket(account.rate_per_s, account.burst)
        self.static_buckets = {
            name: Bucket(
                account.rate_per_s * MICROS_PER_UNIT // count,
                account.burst * MICROS_PER_UNIT // count,
                account.burst * MICROS_PER_UNIT // count,
            )
            for name in fleet.names
        }

    async def run(self, duration: float) -> None:
        """Send requests at random times for a number of seconds."""
        tasks = []
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() - start < duration:
            rate = self.account.rate_per_s * self.load_factor
            await asyncio.sleep(self.random.expovariate(rate))
            elapsed = loop.time() - start
            is_after_warm_up = elapsed >= WARM_UP_S
            name = self.choose_daemon(elapsed, self.random)
            tasks.append(
                asyncio.create_task(self._arrive(name, is_after_warm_up))
            )
        await asyncio.gather(*tasks)

    async def _arrive(self, name: str, is_after_warm_up: bool) -> None:
        now = self.fleet.clock()
        is_central_admitted = _take_token(self.central_bucket, now)
        is_static_admitted = _take_token(self.static_buckets[name], now)
        is_admitted = True
        try:
            await self.fleet.services[name].acquire(
                self.account.name, now + DEADLINE_S * SECOND_NS
            )
        except RequestRefused:
            is_admitted = False
        if is_after_warm_up:
            counts = self.counts
            counts.arrivals += 1
            counts.admitted += is_admitted
            counts.central_admitted += is_central_admitted
            counts.static_admitted += is_static_admitted
            counts.refused_in_rate += is_central_admitted and not is_admitted
            counts.static_refused_in_rate += (
                is_central_admitted and not is_static_admitted
            )
            counts.waits.append((self.fleet.clock() - now) / SECOND_NS)


def _take_token(bucket: Bucket, now: int) -> bool:
    bucket.refill(now)
    return bucket.take(MICROS_PER_UNIT)


def spread_evenly(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Return a function that spreads the demand evenly over all daemons."""
    return lambda elapsed, random: random.choice(fleet.names)


def keep_in_one_zone(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Return a function that keeps all demand in the first zone."""
    return lambda elapsed, random: random.choice(fleet.names[:2])


def move_between_zones(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Return a function that moves all demand to another zone every 5 s."""
    zones = list(ZONE_SLOTS)

    def choose_daemon(elapsed: float, random: Random) -> str:
        zone = zones[int(elapsed / 5) % len(zones)]
        names = [name for name in fleet.names if name.startswith(zone)]
        return random.choice(names)

    return choose_daemon


PATTERNS = {
    'even': spread_evenly,
    'one zone': keep_in_one_zone,
    'moving': move_between_zones,
}
LIMITS = {'a': (60, 12), 'b': (5, 12), 'c': (300, 600), 'd': (100, 100)}


async def _simulate_scenario(
    pattern: str,
    load_factor: float,
    flooding: str | None,
    duration: int,
    seed: int,
) -> dict[str, Any]:
    fleet = AllowanceFleet(build_configuration(LIMITS), seed)
    runs = [
        asyncio.create_task(service.run())
        for service in fleet.services.values()
    ]
    account_arrivals = [
        AccountArrivals(
            fleet,
            account,
            5 if account.name == flooding else load_factor,
            PATTERNS[pattern](fleet),
            seed,
        )
        for account in fleet.source.configuration.accounts
    ]
    await asyncio.gather(
        *(arrivals.run(duration) for arrivals in account_arrivals)
    )
    for run in (*runs, *fleet.links.tasks):
        run.cancel()
    await asyncio.gather(*runs, *fleet.links.tasks, return_exceptions=True)
    sent = Counter(fleet.links.sent_bytes)
    rows = {
        arrivals.account.name: _summarize(arrivals)
        for arrivals in account_arrivals
    }
    return {
        'pattern': pattern,
        'load': load_factor,
        'flooding': flooding,
        'accounts': rows,
        'worst_share': min(
            row['share_of_central']
            for name, row in rows.items()
            if name != flooding
        ),
        'sent_bytes_per_s_mean': round(sum(sent.values()) / 9 / duration),
        'sent_bytes_per_s_most': round(max(sent.values()) / duration),
    }


def _summarize(arrivals: AccountArrivals) -> dict[str, Any]:
    counts = arrivals.counts
    waits = sorted(counts.waits)
    return {
        'rate': arrivals.account.rate_per_s,
        'burst': arrivals.account.burst,
        'arrivals': counts.arrivals,
        'in_rate_refused_pct': _percent(
            counts.refused_in_rate, counts.central_admitted
        ),
        'static_in_rate_refused_pct': _percent(
            counts.static_refused_in_rate, counts.central_admitted
        ),
        'central_refused_pct': _percent(
            counts.arrivals - counts.central_admitted, counts.arrivals
        ),
        'share_of_central': round(counts.admitted / counts.central_admitted, 4),
        'static_share': round(
            counts.static_admitted / counts.central_admitted, 4
        ),
        'p50_ms': round(1000 * waits[len(waits) // 2], 1),
        'p99_ms': round(1000 * waits[len(waits) * 99 // 100], 1),
    }


def _percent(part: int, total: int) -> float:
    return round(100 * part / total, 3)


def run_scenario(*arguments: Any) -> dict[str, Any]:
    """Run one scenario in virtual time and return its results."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_simulate_scenario(*arguments))
    finally:
        loop.close()


def main() -> None:
    """Run all scenarios and print their results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=120)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--pattern', choices=PATTERNS)
    parser.add_argument('--accounts', default='abcd')
    options = parser.parse_args()
    for name in set(LIMITS).difference(options.accounts):
        LIMITS.pop(name)
    for pattern in [options.pattern] if options.pattern else PATTERNS:
        flood_cases = [(0.7, 'd')] if 'd' in LIMITS else []
        for load_factor, flooding in ((0.7, None), (0.95, None), *flood_cases):
            result = run_scenario(
                pattern, load_factor, flooding, options.seconds, options.seed
            )
            print(json.dumps(result))


if __name__ == '__main__':
    main()
