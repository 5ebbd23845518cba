"""Trials of a client account far above its rate and of a withdrawn key."""

import asyncio
import time
from functools import partial
from random import Random
from typing import Any, Final

from attrs import define, field, frozen

from geraniumshelf_core.configuration.edits import withdraw_key
from geraniumshelf_core.configuration.model import ClientAccount
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from tools.trial.arrivals import (
    CentralBucket,
    poisson_arrival_times,
    send_at_times,
)

_READ_JOB: Final = Job('stock-desk', path='/prices')
_FLOODING_ACCOUNT: Final = 'church-offices'
_FLOOD_FACTOR: Final = 5
_OTHER_ACCOUNTS: Final = (
    'hawassa-vendors',
    'gondar-stewards',
    'lake-vendors',
    'auditors',
    'night-market',
)
_OTHERS_LOAD_FACTOR: Final = 0.7
_LOAD_DURATION_S: Final = 12
_MIN_SENT: Final = 20

_WITHDRAWN_ACCOUNT: Final = 'merkato-stalls'
_PROBE_INTERVAL_S: Final = 0.1
_MAX_PROBES: Final = 60
_UNAUTHORIZED: Final = 401


@define
class _AccountTraffic:
    """Requests of one client account, each with arrival time and outcome."""

    account: ClientAccount
    sent: list[tuple[float, Outcome]] = field(factory=list)

    def count_admitted(self) -> int:
        return sum(outcome.status != 429 for _, outcome in self.sent)

    def central_admissions(self) -> list[bool]:
        """Return for each request whether an ideal central bucket admits it."""
        bucket = CentralBucket(
            self.account.rate_per_s, self.account.burst, self.account.burst
        )
        return [bucket.admit(at) for at, _ in self._ordered()]

    def count_refused_in_rate(self) -> int:
        return sum(
            admits and outcome.status == 429
            for admits, (_, outcome) in zip(
                self.central_admissions(), self._ordered(), strict=True
            )
        )

    def _ordered(self) -> list[tuple[float, Outcome]]:
        return sorted(self.sent, key=lambda row: row[0])


@frozen
class FloodResult:
    """Admissions of client accounts while one of them floods the fleet.

    Attributes:
        worst_account: Name of the account with the lowest ratio of admissions
            among those that do not flood.
        worst_admitted_ratio: Ratio of the admissions of that account to those
            of an ideal central bucket.
        in_rate_refused_fraction: Fraction of the requests that a central
            bucket would admit but the fleet refused, over all accounts that do
            not flood.
        in_rate_count: Number of requests of these accounts that a central
            bucket would admit.
        flooding_admitted_ratio: Ratio of the admissions of the flooding
            account to the largest number that its rate and burst allow.
        other_failure_count: Number of requests that ended with a status other
            than 200 and 429.
    """

    worst_account: str
    worst_admitted_ratio: float
    in_rate_refused_fraction: float
    in_rate_count: int
    flooding_admitted_ratio: float
    other_failure_count: int


async def run_flood(fleet: Any, factor: float = _FLOOD_FACTOR) -> FloodResult:
    """Send several times the rate of one account, over all daemons.

    Args:
        fleet: Fleet that receives the requests.
        factor: Multiple of its rate that the flooding account sends.
    """
    accounts = {
        account.name: account
        for account in fleet.deployment.configuration.accounts
    }
    flooding = _AccountTraffic(accounts[_FLOODING_ACCOUNT])
    others = [_AccountTraffic(accounts[name]) for name in _OTHER_ACCOUNTS]
    await asyncio.gather(
        _send_all(fleet, flooding, factor),
        *(_send_all(fleet, traffic, _OTHERS_LOAD_FACTOR) for traffic in others),
    )
    admitted_ratios = {
        traffic.account.name: traffic.count_admitted()
        / max(1, sum(traffic.central_admissions()))
        for traffic in others
        if len(traffic.sent) >= _MIN_SENT
    }
    worst_name = min(admitted_ratios, key=lambda name: admitted_ratios[name])
    in_rate = sum(sum(traffic.central_admissions()) for traffic in others)
    account = flooding.account
    max_admitted = account.rate_per_s * _LOAD_DURATION_S + account.burst
    return FloodResult(
        worst_name,
        admitted_ratios[worst_name],
        sum(traffic.count_refused_in_rate() for traffic in others)
        / max(1, in_rate),
        in_rate,
        flooding.count_admitted() / max_admitted,
        sum(
            outcome.status not in {200, 429}
            for traffic in (flooding, *others)
            for _, outcome in traffic.sent
        ),
    )


async def _send_all(
    fleet: Any, traffic: _AccountTraffic, factor: float
) -> None:
    name = traffic.account.name
    random = Random(name)
    addresses = [
        instance.caller_address for instance in fleet.instances.values()
    ]
    caller = Caller(f'trial-{name}', addresses, random)

    async def send() -> None:
        at = time.monotonic()
        outcome = await caller.send(_READ_JOB, random.choice(addresses), '')
        traffic.sent.append((at, outcome))

    rate = traffic.account.rate_per_s * factor
    await send_at_times(
        poisson_arrival_times(rate, _LOAD_DURATION_S, random), send
    )


async def measure_withdrawal(fleet: Any) -> tuple[float, float]:
    """Withdraw a key that is in use on open connections to all daemons.

    Returns:
        Seconds from the acceptance of the withdrawal until the last request
        that any daemon served was sent, and until the first refusal by any
        daemon.

    Raises:
        TimeoutError: If a daemon does not refuse the key in time.
    """
    refusals: dict[str, float] = {}
    served: dict[str, float] = {}
    probes = [
        asyncio.ensure_future(
            _probe(instance.caller_address, index, refusals, served)
        )
        for index, instance in enumerate(fleet.instances.values())
    ]
    await asyncio.sleep(1)
    await fleet.make_publisher().edit(
        partial(withdraw_key, label=f'{_WITHDRAWN_ACCOUNT}-trial')
    )
    accepted = time.monotonic()
    await asyncio.gather(*probes)
    if len(refusals) < len(probes):
        raise TimeoutError(
            f'only {len(refusals)} of {len(probes)} daemons refused the'
            f' withdrawn key within {_MAX_PROBES} requests'
        )
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
    caller = Caller(f'trial-{_WITHDRAWN_ACCOUNT}', [address], Random(index))
    await asyncio.sleep(_PROBE_INTERVAL_S * index / 10)
    for _ in range(_MAX_PROBES):
        sent = time.monotonic()
        outcome = await caller.send(_READ_JOB, address, '')
        if outcome.status == _UNAUTHORIZED:
            refusals[address] = time.monotonic()
            return
        served[address] = sent
        await asyncio.sleep(_PROBE_INTERVAL_S)
