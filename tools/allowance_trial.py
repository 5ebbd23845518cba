"""Trial of the allowances of nine daemons in virtual time.

Runs the real service with the delays of the Association and compares its
admissions with an ideal central bucket and a static split that are fed the
same arrivals. Prints JSON; all times are virtual and all seeds fixed.
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
from geraniumshelf_core.units import MICRO_TOKENS, SECOND_NS
from geraniumshelf_standins.virtual_time import VirtualTimeLoop
from tools.trial.allowance_fleet import (
    DEADLINE_S,
    WARM_UP_S,
    ZONE_SLOTS,
    AllowanceFleet,
    build_configuration,
)


@define
class Tally:
    """What became of the arrivals of one account."""

    arrivals: int = 0
    admitted: int = 0
    central: int = 0
    static: int = 0
    refused_in_rate: int = 0
    static_refused_in_rate: int = 0
    waits: list[float] = Factory(list)


def _bucket(rate: int, burst: float) -> Bucket:
    size = round(burst * MICRO_TOKENS)
    return Bucket(rate * MICRO_TOKENS, size, size)


class Arrivals:
    """Feeds one account's arrivals to the service and both references."""

    def __init__(
        self,
        fleet: AllowanceFleet,
        account: ClientAccount,
        load: float,
        where: Callable[[float, Random], str],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.account = account
        self.load = load
        self.where = where
        self.random = Random(f'{seed} {account.name}')
        self.tally = Tally()
        count = len(fleet.names)
        self.central = _bucket(account.rate_per_s, account.burst)
        self.static = {
            name: Bucket(
                account.rate_per_s * MICRO_TOKENS // count,
                account.burst * MICRO_TOKENS // count,
                account.burst * MICRO_TOKENS // count,
            )
            for name in fleet.names
        }

    async def run(self, duration: float) -> None:
        """Let requests arrive at random for a number of seconds."""
        tasks = []
        loop = asyncio.get_running_loop()
        start = loop.time()
        while loop.time() - start < duration:
            rate = self.account.rate_per_s * self.load
            await asyncio.sleep(self.random.expovariate(rate))
            elapsed = loop.time() - start
            is_counted = elapsed >= WARM_UP_S
            name = self.where(elapsed, self.random)
            tasks.append(asyncio.create_task(self._arrive(name, is_counted)))
        await asyncio.gather(*tasks)

    async def _arrive(self, name: str, is_counted: bool) -> None:
        now = self.fleet.clock()
        by_central = _take(self.central, now)
        by_static = _take(self.static[name], now)
        is_admitted = True
        try:
            await self.fleet.services[name].acquire(
                self.account.name, now + DEADLINE_S * SECOND_NS
            )
        except RequestRefused:
            is_admitted = False
        if is_counted:
            tally = self.tally
            tally.arrivals += 1
            tally.admitted += is_admitted
            tally.central += by_central
            tally.static += by_static
            tally.refused_in_rate += by_central and not is_admitted
            tally.static_refused_in_rate += by_central and not by_static
            tally.waits.append((self.fleet.clock() - now) / SECOND_NS)


def _take(bucket: Bucket, now: int) -> bool:
    bucket.refill(now)
    return bucket.take(MICRO_TOKENS)


def everywhere(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Spread demand evenly over all daemons."""
    return lambda elapsed, random: random.choice(fleet.names)


def one_zone(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Keep all demand in the first zone."""
    return lambda elapsed, random: random.choice(fleet.names[:2])


def moving(fleet: AllowanceFleet) -> Callable[[float, Random], str]:
    """Move all demand to the next zone every five seconds."""
    zones = list(ZONE_SLOTS)

    def where(elapsed: float, random: Random) -> str:
        zone = zones[int(elapsed / 5) % len(zones)]
        names = [name for name in fleet.names if name.startswith(zone)]
        return random.choice(names)

    return where


PATTERNS = {'even': everywhere, 'one zone': one_zone, 'moving': moving}
LIMITS = {'a': (60, 12), 'b': (5, 12), 'c': (300, 600), 'd': (100, 100)}


async def _scenario(
    pattern: str, load: float, flooding: str | None, duration: int, seed: int
) -> dict[str, Any]:
    fleet = AllowanceFleet(build_configuration(LIMITS), seed)
    runs = [
        asyncio.create_task(service.run())
        for service in fleet.services.values()
    ]
    feeds = [
        Arrivals(
            fleet,
            account,
            5 if account.name == flooding else load,
            PATTERNS[pattern](fleet),
            seed,
        )
        for account in fleet.source.configuration.accounts
    ]
    await asyncio.gather(*(feed.run(duration) for feed in feeds))
    for run in (*runs, *fleet.links.tasks):
        run.cancel()
    await asyncio.gather(*runs, *fleet.links.tasks, return_exceptions=True)
    sent = Counter(fleet.links.sent_bytes)
    rows = {feed.account.name: _row(feed) for feed in feeds}
    return {
        'pattern': pattern,
        'load': load,
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


def _row(feed: Arrivals) -> dict[str, Any]:
    tally = feed.tally
    waits = sorted(tally.waits)
    return {
        'rate': feed.account.rate_per_s,
        'burst': feed.account.burst,
        'arrivals': tally.arrivals,
        'in_rate_refused_pct': _percent(tally.refused_in_rate, tally.central),
        'static_in_rate_refused_pct': _percent(
            tally.static_refused_in_rate, tally.central
        ),
        'central_refused_pct': _percent(
            tally.arrivals - tally.central, tally.arrivals
        ),
        'share_of_central': round(tally.admitted / tally.central, 4),
        'static_share': round(tally.static / tally.central, 4),
        'p50_ms': round(1000 * waits[len(waits) // 2], 1),
        'p99_ms': round(1000 * waits[len(waits) * 99 // 100], 1),
    }


def _percent(part: int, total: int) -> float:
    return round(100 * part / total, 3)


def run_scenario(*settings: Any) -> dict[str, Any]:
    """Run one scenario in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(_scenario(*settings))
    finally:
        loop.close()


def main() -> None:
    """Print the results of all scenarios as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=120)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--pattern', choices=PATTERNS)
    parser.add_argument('--accounts', default='abcd')
    options = parser.parse_args()
    for name in set(LIMITS).difference(options.accounts):
        LIMITS.pop(name)
    for pattern in [options.pattern] if options.pattern else PATTERNS:
        floods = [(0.7, 'd')] if 'd' in LIMITS else []
        for load, flooding in ((0.7, None), (0.95, None), *floods):
            result = run_scenario(
                pattern, load, flooding, options.seconds, options.seed
            )
            print(json.dumps(result))


if __name__ == '__main__':
    main()
