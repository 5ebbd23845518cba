"""One client account far above its rate, and a key that is withdrawn."""

import asyncio
import time
from functools import partial
from random import Random
from typing import Any, Final

from attrs import define, field, frozen

from geraniumshelf_core.configuration.edits import withdraw_key
from geraniumshelf_core.configuration.model import ClientAccount
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from tools.trial.arrivals import CentralBucket, poisson_times, send_at

_JOB: Final = Job('stock-desk', path='/prices')
_FLOODED: Final = 'church-offices'
_FLOOD_FACTOR: Final = 5
_OTHERS: Final = (
    'hawassa-vendors',
    'gondar-stewards',
    'lake-vendors',
    'auditors',
    'night-market',
)
_SHARE: Final = 0.7
_STEADY_S: Final = 12
_LEAST_SENT: Final = 20

_WITHDRAWN: Final = 'merkato-stalls'
_PROBE_S: Final = 0.1
_PROBES: Final = 60
_REFUSED: Final = 401


@define
class _Traffic:
    """Requests of one account: arrival and outcome."""

    account: ClientAccount
    sent: list[tuple[float, Outcome]] = field(factory=list)

    def admitted(self) -> int:
        return sum(outcome.status != 429 for _, outcome in self.sent)

    def central(self) -> list[bool]:
        """Return for each request whether a central bucket admits it."""
        bucket = CentralBucket(
            self.account.rate_per_s, self.account.burst, self.account.burst
        )
        return [bucket.admit(at) for at, _ in self._ordered()]

    def refused_in_rate(self) -> int:
        return sum(
            admits and outcome.status == 429
            for admits, (_, outcome) in zip(
                self.central(), self._ordered(), strict=True
            )
        )

    def _ordered(self) -> list[tuple[float, Outcome]]:
        return sorted(self.sent, key=lambda row: row[0])


@frozen
class FloodResult:
    """What accounts got while one of them floods.

    Attributes:
        worst: Name of the worst-served account that does not flood.
        worst_share: What it was admitted, by what a central bucket admits.
        in_rate_refused: Share of requests that a central bucket would have
            admitted and the fleet refused, over those accounts.
        in_rate: Number of requests that a central bucket would admit.
        flooded_share: Admissions of the flooding account, by the largest
            number that its rate and burst allow.
        other_failures: Requests that ended with neither an answer nor 429.
    """

    worst: str
    worst_share: float
    in_rate_refused: float
    in_rate: int
    flooded_share: float
    other_failures: int


async def run_flood(fleet: Any, factor: float = _FLOOD_FACTOR) -> FloodResult:
    """Let one account send several times its rate, over all daemons."""
    accounts = {
        account.name: account
        for account in fleet.deployment.configuration.accounts
    }
    flooded = _Traffic(accounts[_FLOODED])
    others = [_Traffic(accounts[name]) for name in _OTHERS]
    await asyncio.gather(
        _send_all(fleet, flooded, factor),
        *(_send_all(fleet, traffic, _SHARE) for traffic in others),
    )
    shares = {
        one.account.name: one.admitted() / max(1, sum(one.central()))
        for one in others
        if len(one.sent) >= _LEAST_SENT
    }
    worst = min(shares, key=lambda name: shares[name])
    in_rate = sum(sum(one.central()) for one in others)
    account = flooded.account
    most = account.rate_per_s * _STEADY_S + account.burst
    return FloodResult(
        worst,
        shares[worst],
        sum(one.refused_in_rate() for one in others) / max(1, in_rate),
        in_rate,
        flooded.admitted() / most,
        sum(
            outcome.status not in {200, 429}
            for one in (flooded, *others)
            for _, outcome in one.sent
        ),
    )


async def _send_all(fleet: Any, traffic: _Traffic, factor: float) -> None:
    name = traffic.account.name
    random = Random(name)
    addresses = [place.caller_address for place in fleet.instances.values()]
    caller = Caller(f'trial-{name}', addresses, random)

    async def send() -> None:
        at = time.monotonic()
        outcome = await caller.send(_JOB, random.choice(addresses), '')
        traffic.sent.append((at, outcome))

    rate = traffic.account.rate_per_s * factor
    await send_at(poisson_times(rate, _STEADY_S, random), send)


async def time_withdrawal(fleet: Any) -> tuple[float, float]:
    """Withdraw a key in use on open connections at all daemons.

    Returns:
        Seconds from the acceptance until the last request that was served was
        sent, over all daemons, and until the first refusal.
    """
    refusals: dict[str, float] = {}
    served: dict[str, float] = {}
    probes = [
        asyncio.ensure_future(
            _probe(place.caller_address, index, refusals, served)
        )
        for index, place in enumerate(fleet.instances.values())
    ]
    await asyncio.sleep(1)
    await fleet.publisher().edit(
        partial(withdraw_key, label=f'{_WITHDRAWN}-trial')
    )
    accepted = time.monotonic()
    await asyncio.gather(*probes)
    if len(refusals) < len(probes):
        raise TimeoutError('a daemon still accepts the withdrawn key')
    return (
        max(0, max(served.values()) - accepted),
        max(0, min(refusals.values()) - accepted),
    )


async def _probe(
    address: str,
    index: int,
    refusals: dict[str, float],
    served: dict[str, float],
) -> None:
    caller = Caller(f'trial-{_WITHDRAWN}', [address], Random(index))
    await asyncio.sleep(_PROBE_S * index / 10)
    for _ in range(_PROBES):
        sent = time.monotonic()
        outcome = await caller.send(_JOB, address, '')
        if outcome.status == _REFUSED:
            refusals[address] = time.monotonic()
            return
        served[address] = sent
        await asyncio.sleep(_PROBE_S)
