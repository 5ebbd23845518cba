"""Latency through one daemon, compared with direct calls in the same run."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any, Final

from attrs import frozen

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.caller.workload import percentile_ms
from tools.trial.arrivals import poisson_arrival_times, send_at_times
from tools.trial.fleets import set_faults

_ENTRY_INSTANCE: Final = 'addis-a-0'
_READ_JOB: Final = Job('stock-desk', path='/prices')
_CALLER_KEYS: Final = ('trial-merkato-stalls', 'trial-piazza-vendors')
_LIGHT_LOAD_PER_S: Final = 40
_LIGHT_LOAD_S: Final = 8
_HEAVY_LOAD_S: Final = 6
_HEAVY_SERVICE_MS: Final = 100
_HEAVY_SLOT_FRACTION: Final = 0.8
_FAST_SERVICE_MS: Final = 40
_SLOW_SERVICE_MS: Final = 200
_SLOW_SERVER_LOAD_PER_S: Final = 90
_SLOW_SERVER_LOAD_S: Final = 6
QUANTILES: Final = (0.5, 0.99, 0.999)


@frozen
class LatencyComparison:
    """Latencies with and without a daemon.

    Attributes:
        daemon_ms: Latencies through the daemon at the quantiles ``QUANTILES``,
            milliseconds.
        baseline_ms: Latencies of direct calls at the same quantiles,
            milliseconds.
        daemon_failed_fraction: Fraction of the requests through the daemon
            that were not served.
        baseline_failed_fraction: Fraction of the direct calls that were not
            served.
        request_count: Number of requests sent each way.
    """

    daemon_ms: Sequence[float]
    baseline_ms: Sequence[float]
    daemon_failed_fraction: float
    baseline_failed_fraction: float
    request_count: int


async def compare_light_load(fleet: Any) -> LatencyComparison:
    """Compare at a low rate, with both kinds of requests at the same time."""
    server = _addis_a_servers(fleet)[0]
    times = poisson_arrival_times(_LIGHT_LOAD_PER_S, _LIGHT_LOAD_S, Random(1))
    through_daemon: list[Outcome] = []
    direct: list[Outcome] = []
    await asyncio.gather(
        _warm_up_and_send(times, _daemon_sender(fleet, through_daemon)),
        _warm_up_and_send(times, _direct_sender([server], direct)),
    )
    return _compare(through_daemon, direct)


async def compare_heavy_load(fleet: Any) -> LatencyComparison:
    """Compare at 80% of the slots of a zone, first the direct calls."""
    servers = _addis_a_servers(fleet)
    for server in servers:
        await set_faults(server, service_ms=_HEAVY_SERVICE_MS)
    slots = sum(server.slots for server in servers)
    rate = _HEAVY_SLOT_FRACTION * slots * 1000 / _HEAVY_SERVICE_MS
    times = poisson_arrival_times(rate, _HEAVY_LOAD_S, Random(2))
    through_daemon: list[Outcome] = []
    direct: list[Outcome] = []
    await _warm_up_and_send(times, _direct_sender(servers, direct))
    await _warm_up_and_send(times, _daemon_sender(fleet, through_daemon))
    for server in servers:
        await set_faults(server, service_ms=0)
    return _compare(through_daemon, direct)


async def compare_with_slow_server(fleet: Any) -> LatencyComparison:
    """Compare with round robin while one of three servers is slow."""
    servers = _addis_a_servers(fleet)
    for server in servers:
        is_slow = server is servers[0]
        await set_faults(
            server, service_ms=_SLOW_SERVICE_MS if is_slow else _FAST_SERVICE_MS
        )
    times = poisson_arrival_times(
        _SLOW_SERVER_LOAD_PER_S, _SLOW_SERVER_LOAD_S, Random(3)
    )
    through_daemon: list[Outcome] = []
    direct: list[Outcome] = []
    await _warm_up_and_send(times, _direct_sender(servers, direct))
    await _warm_up_and_send(times, _daemon_sender(fleet, through_daemon))
    for server in servers:
        await set_faults(server, service_ms=0)
    return _compare(through_daemon, direct)


def _addis_a_servers(fleet: Any) -> list[BackendServer]:
    return [
        server
        for server in fleet.deployment.configuration.servers
        if server.zone == 'addis-a' and server.service == 'stock-desk'
    ]


def _daemon_sender(fleet: Any, outcomes: list[Outcome]) -> Any:
    address = fleet.instances[_ENTRY_INSTANCE].caller_address
    callers = [Caller(key, [address], Random(0)) for key in _CALLER_KEYS]

    async def send() -> None:
        caller = callers[len(outcomes) % len(callers)]
        outcomes.append(await caller.send(_READ_JOB, address, ''))

    return send


def _direct_sender(
    servers: list[BackendServer], outcomes: list[Outcome]
) -> Any:
    caller = Caller('', [], Random(0))
    request_numbers = iter(range(1 << 30))

    async def send() -> None:
        server = servers[next(request_numbers) % len(servers)]
        outcomes.append(await caller.send(_READ_JOB, server.address, ''))

    return send


async def _warm_up_and_send(times: Sequence[float], send: Any) -> None:
    # The first requests open the connections.
    for _ in range(20):
        await send()
    await send_at_times(times, send)


def _compare(
    through_daemon: list[Outcome], direct: list[Outcome]
) -> LatencyComparison:
    return LatencyComparison(
        _quantiles_ms(through_daemon),
        _quantiles_ms(direct),
        _failed_fraction(through_daemon),
        _failed_fraction(direct),
        len(through_daemon),
    )


def _quantiles_ms(outcomes: list[Outcome]) -> list[float]:
    served = [outcome.latency_ns for outcome in outcomes if outcome.is_served]
    return [percentile_ms(served, quantile) for quantile in QUANTILES]


def _failed_fraction(outcomes: list[Outcome]) -> float:
    return sum(not outcome.is_served for outcome in outcomes) / len(outcomes)
