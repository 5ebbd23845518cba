"""Latency through one daemon against direct calls in the same run."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any, Final

from attrs import frozen

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.caller.workload import percentile_ms
from tools.trial.arrivals import poisson_times, send_at
from tools.trial.fleets import set_faults

_ENTRY: Final = 'addis-a-0'
_JOB: Final = Job('stock-desk', path='/prices')
_KEYS: Final = ('trial-merkato-stalls', 'trial-piazza-vendors')
_LIGHT_PER_S: Final = 40
_LIGHT_S: Final = 8
_FULL_S: Final = 6
_FULL_MS: Final = 100
_FULL_SHARE: Final = 0.8
_FAST_MS: Final = 40
_SLOW_MS: Final = 200
_UNEVEN_PER_S: Final = 90
_UNEVEN_S: Final = 6
SHARES: Final = (0.5, 0.99, 0.999)


@frozen
class Comparison:
    """Latencies of two ways, milliseconds, at the shares of ``SHARES``.

    Attributes:
        own: Through the daemon.
        baseline: Without it.
        refused: Share of requests through the daemon that failed.
        baseline_refused: The same without it.
        count: Requests sent each way.
    """

    own: Sequence[float]
    baseline: Sequence[float]
    refused: float
    baseline_refused: float
    count: int


async def compare_light(fleet: Any) -> Comparison:
    """Send few requests both ways at the same time."""
    server = _servers(fleet)[0]
    times = poisson_times(_LIGHT_PER_S, _LIGHT_S, Random(1))
    own: list[Outcome] = []
    direct: list[Outcome] = []
    await asyncio.gather(
        _drive(times, _through(fleet, own)),
        _drive(times, _direct([server], direct)),
    )
    return _compare(own, direct)


async def compare_full(fleet: Any) -> Comparison:
    """Use 80 % of the slots of a zone, first directly, then through."""
    servers = _servers(fleet)
    for server in servers:
        await set_faults(server, service_ms=_FULL_MS)
    slots = sum(server.slots for server in servers)
    rate = _FULL_SHARE * slots * 1000 / _FULL_MS
    times = poisson_times(rate, _FULL_S, Random(2))
    own: list[Outcome] = []
    direct: list[Outcome] = []
    await _drive(times, _direct(servers, direct))
    await _drive(times, _through(fleet, own))
    for server in servers:
        await set_faults(server, service_ms=0)
    return _compare(own, direct)


async def compare_uneven(fleet: Any) -> Comparison:
    """Compare with round robin while one of three servers is slow."""
    servers = _servers(fleet)
    for server in servers:
        slow = server is servers[0]
        await set_faults(server, service_ms=_SLOW_MS if slow else _FAST_MS)
    times = poisson_times(_UNEVEN_PER_S, _UNEVEN_S, Random(3))
    own: list[Outcome] = []
    direct: list[Outcome] = []
    await _drive(times, _direct(servers, direct))
    await _drive(times, _through(fleet, own))
    for server in servers:
        await set_faults(server, service_ms=0)
    return _compare(own, direct)


def _servers(fleet: Any) -> list[BackendServer]:
    return [
        server
        for server in fleet.deployment.configuration.servers
        if server.zone == 'addis-a' and server.service == 'stock-desk'
    ]


def _through(fleet: Any, outcomes: list[Outcome]) -> Any:
    address = fleet.instances[_ENTRY].caller_address
    callers = [Caller(key, [address], Random(0)) for key in _KEYS]

    async def send() -> None:
        caller = callers[len(outcomes) % len(callers)]
        outcomes.append(await caller.send(_JOB, address, ''))

    return send


def _direct(servers: list[BackendServer], outcomes: list[Outcome]) -> Any:
    caller = Caller('', [], Random(0))
    turns = iter(range(1 << 30))

    async def send() -> None:
        server = servers[next(turns) % len(servers)]
        outcomes.append(await caller.send(_JOB, server.address, ''))

    return send


async def _drive(times: Sequence[float], send: Any) -> None:
    # The first requests open connections.
    for _ in range(20):
        await send()
    await send_at(times, send)


def _compare(own: list[Outcome], direct: list[Outcome]) -> Comparison:
    return Comparison(
        _percentiles(own),
        _percentiles(direct),
        _refused(own),
        _refused(direct),
        len(own),
    )


def _percentiles(outcomes: list[Outcome]) -> list[float]:
    served = [one.latency_ns for one in outcomes if one.is_served]
    return [percentile_ms(served, share) for share in SHARES]


def _refused(outcomes: list[Outcome]) -> float:
    return sum(not one.is_served for one in outcomes) / len(outcomes)
