"""Trial of a planned drain of a region under load."""

import asyncio
import math
import time
from functools import partial
from random import Random
from typing import Any, Final

from attrs import frozen

from geraniumshelf_core.configuration.edits import set_drain
from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.units import PARTS_PER_MILLION, SECOND_NS
from geraniumshelf_standins.caller.client import Caller, Job, Outcome
from geraniumshelf_standins.fleet.fleet import fetch_json
from tools.trial.arrivals import poisson_arrival_times, send_at_times
from tools.trial.deployments import client_addresses
from tools.trial.fleets import set_faults

_DRAINED_REGION: Final = 'gondar'
_REGIONS: Final = ('addis', 'gondar', 'hawassa')
_READ_JOB: Final = Job('stock-desk', path='/prices')
_CALLER_KEYS: Final = ('trial-merkato-stalls', 'trial-piazza-vendors')
_REQUESTS_PER_S_PER_REGION: Final = 40
_SERVICE_MS: Final = 150
_LOAD_BEFORE_DRAIN_S: Final = 12
_DRAIN_TIMEOUT_S: Final = 50
_WINDOW_NS: Final = 3 * SECOND_NS
_PLAN_STABLE_S: Final = 10
_PLAN_PROPAGATION_S: Final = 3


@frozen
class DrainResult:
    """Results of a drain.

    Attributes:
        drained_s: Seconds from the acceptance of the drain to the start of
            the last request in the region.
        planned_s: Seconds from the acceptance until the last step of the plan
            was in force at an entry instance.
        min_drain_s: Shortest possible drain in seconds: the steps that the
            shift cap needs for the traffic of the region, and the look-up TTL
            after the last step.
        step_count: Number of steps that the shift cap needs.
        traffic_fraction: Fraction of the service's traffic that the region
            had before the drain.
        min_headroom: Smallest fraction of free slots in a remaining region, as
            a mean over a window of 3 s.
        failed_count: Number of requests that were not served.
        request_count: Number of all requests.
    """

    drained_s: float
    planned_s: float
    min_drain_s: float
    step_count: int
    traffic_fraction: float
    min_headroom: float
    failed_count: int
    request_count: int


async def run_drain(fleet: Any) -> DrainResult:
    """Drain one of three regions while callers of all regions send requests."""
    configuration = fleet.deployment.configuration
    servers = [
        server
        for server in configuration.servers
        if server.service == _READ_JOB.service
    ]
    for server in servers:
        await set_faults(server, service_ms=_SERVICE_MS)
    outcomes: list[Outcome] = []
    load_started_ns = time.monotonic_ns()
    load = asyncio.ensure_future(
        asyncio.gather(
            *(_send_load(fleet, region, outcomes) for region in _REGIONS)
        )
    )
    await asyncio.sleep(_LOAD_BEFORE_DRAIN_S)
    accepted_ns, planned_s = await _start_drain(fleet)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    region_by_zone = {zone.name: zone.region for zone in configuration.zones}
    spans = {
        region: await _fetch_run_spans(
            [
                server
                for server in servers
                if region_by_zone[server.zone] == region
            ],
            load_started_ns,
        )
        for region in _REGIONS
    }
    last_start_ns = max(start for start, _ in spans[_DRAINED_REGION])
    slots = {
        region: sum(
            server.slots
            for server in servers
            if region_by_zone[server.zone] == region
        )
        for region in _REGIONS
    }
    counts = {
        region: sum(
            accepted_ns - _LOAD_BEFORE_DRAIN_S * SECOND_NS / 2
            < start
            < accepted_ns
            for start, _ in region_spans
        )
        for region, region_spans in spans.items()
    }
    fraction = counts[_DRAINED_REGION] / sum(counts.values())
    service = next(
        candidate
        for candidate in configuration.services
        if candidate.name == _READ_JOB.service
    )
    cap = service.shift_cap
    needed_steps = math.ceil(fraction * PARTS_PER_MILLION / cap.share_ppm)
    step_s = max(cap.step_s, service.lookup_ttl_s + _PLAN_PROPAGATION_S)
    return DrainResult(
        (last_start_ns - accepted_ns) / SECOND_NS,
        planned_s,
        (needed_steps - 1) * step_s + service.lookup_ttl_s,
        needed_steps,
        fraction,
        min(
            1 - _max_mean_in_flight(region_spans) / slots[region]
            for region, region_spans in spans.items()
            if region != _DRAINED_REGION
        ),
        sum(not outcome.is_served for outcome in outcomes),
        len(outcomes),
    )


async def _send_load(fleet: Any, region: str, outcomes: list[Outcome]) -> None:
    random = Random(region)
    entry_addresses = [
        instance.caller_address
        for instance in fleet.instances.values()
        if instance.region == region
    ]
    callers = [
        Caller(_CALLER_KEYS[number % 2], entry_addresses, random, address)
        for number, address in enumerate(client_addresses(region))
    ]

    async def send() -> None:
        outcomes.append(await random.choice(callers).run(_READ_JOB))

    seconds = _LOAD_BEFORE_DRAIN_S + _DRAIN_TIMEOUT_S
    await send_at_times(
        poisson_arrival_times(_REQUESTS_PER_S_PER_REGION, seconds, random), send
    )


async def _start_drain(fleet: Any) -> tuple[int, float]:
    """Start the drain and wait until the plan no longer changes.

    Returns:
        Time of the acceptance in nanoseconds of the monotonic clock, and
        seconds from the acceptance to the last change of the plan.
    """
    instance = next(iter(fleet.instances.values()))
    url = f'http://{instance.operator_address}/v1/status'
    await fleet.make_publisher().edit(
        partial(set_drain, name=_DRAINED_REGION, undo=False)
    )
    accepted_ns = time.monotonic_ns()
    revision = -1
    changed_at = time.monotonic()
    planned_s = 0.0
    while (
        time.monotonic_ns() - accepted_ns < (_DRAIN_TIMEOUT_S - 5) * SECOND_NS
    ):
        status = await fetch_json(url)
        plan_revision = status['plans'][_READ_JOB.service]
        if plan_revision != revision:
            revision = plan_revision
            changed_at = time.monotonic()
            planned_s = (time.monotonic_ns() - accepted_ns) / SECOND_NS
        elif time.monotonic() - changed_at > _PLAN_STABLE_S:
            break
        await asyncio.sleep(0.2)
    return accepted_ns, planned_s


async def _fetch_run_spans(
    servers: list[BackendServer], since_ns: int
) -> list[tuple[int, int]]:
    """Return start and end of each request that the servers completed.

    Requests that started before ``since_ns`` are left out.
    """
    spans = []
    for server in servers:
        records = await fetch_json(f'http://{server.address}/-/records')
        spans += [
            (record['started_ns'], record['ended_ns'])
            for record in records['records']
            if record['outcome'] == 'done'
            and record['account']
            and record['started_ns'] >= since_ns
        ]
    return spans


def _max_mean_in_flight(spans: list[tuple[int, int]]) -> float:
    """Return the largest mean number of requests in flight in a window."""
    in_flight_ns: dict[int, int] = {}
    for start, end in spans:
        while start < end:
            window = start // _WINDOW_NS
            stop = min(end, (window + 1) * _WINDOW_NS)
            in_flight_ns[window] = in_flight_ns.get(window, 0) + stop - start
            start = stop
    return max(in_flight_ns.values(), default=0) / _WINDOW_NS
