"""A planned drain of a region under load."""

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
from tools.trial.arrivals import poisson_times, send_at
from tools.trial.fleets import set_faults
from tools.trial.layouts import client_addresses

_DRAINED: Final = 'gondar'
_REGIONS: Final = ('addis', 'gondar', 'hawassa')
_JOB: Final = Job('stock-desk', path='/prices')
_KEYS: Final = ('trial-merkato-stalls', 'trial-piazza-vendors')
_PER_REGION_PER_S: Final = 40
_SERVICE_MS: Final = 150
_SETTLE_S: Final = 12
_LIMIT_S: Final = 50
_WINDOW_NS: Final = 3 * SECOND_NS
_STABLE_S: Final = 10
_PROPAGATION_S: Final = 3


@frozen
class DrainResult:
    """How a drain went.

    Attributes:
        drained_s: Seconds from the acceptance of the drain to the start of
            the last request in the region.
        planned_s: Seconds from the acceptance until the last of the steps was
            in force at an entry instance.
        best_s: The best that the cap allows for the traffic that the region
            had, with the look-up TTL after the last step.
        steps: Steps that the cap needs.
        share: Share of the service's traffic that the region had.
        headroom: Least part of a region's slots that was free on the mean of
            3 s, over all regions that stay.
        failed: Requests that were not served.
        sent: All requests.
    """

    drained_s: float
    planned_s: float
    best_s: float
    steps: int
    share: float
    headroom: float
    failed: int
    sent: int


async def run_drain(fleet: Any) -> DrainResult:
    """Drain one of three regions while clients of all send requests."""
    configuration = fleet.deployment.configuration
    servers = [
        one for one in configuration.servers if one.service == _JOB.service
    ]
    for server in servers:
        await set_faults(server, service_ms=_SERVICE_MS)
    outcomes: list[Outcome] = []
    begun_ns = time.monotonic_ns()
    load = asyncio.ensure_future(
        asyncio.gather(*(_load(fleet, region, outcomes) for region in _REGIONS))
    )
    await asyncio.sleep(_SETTLE_S)
    accepted_ns, planned_s = await _drain(fleet)
    load.cancel()
    await asyncio.gather(load, return_exceptions=True)
    regions = {zone.name: zone.region for zone in configuration.zones}
    spans = {
        region: await _spans(
            [one for one in servers if regions[one.zone] == region],
            begun_ns,
        )
        for region in _REGIONS
    }
    last = max(start for start, _ in spans[_DRAINED])
    slots = {
        region: sum(one.slots for one in servers if regions[one.zone] == region)
        for region in _REGIONS
    }
    counts = {
        region: sum(
            accepted_ns - _SETTLE_S * SECOND_NS / 2 < start < accepted_ns
            for start, _ in found
        )
        for region, found in spans.items()
    }
    share = counts[_DRAINED] / sum(counts.values())
    service = next(
        one for one in configuration.services if one.name == _JOB.service
    )
    cap = service.shift_cap
    steps = math.ceil(share * PARTS_PER_MILLION / cap.share_ppm)
    step_s = max(cap.step_s, service.lookup_ttl_s + _PROPAGATION_S)
    return DrainResult(
        (last - accepted_ns) / SECOND_NS,
        planned_s,
        (steps - 1) * step_s + service.lookup_ttl_s,
        steps,
        share,
        min(
            1 - _fullest(found) / slots[region]
            for region, found in spans.items()
            if region != _DRAINED
        ),
        sum(not outcome.is_served for outcome in outcomes),
        len(outcomes),
    )


async def _load(fleet: Any, region: str, outcomes: list[Outcome]) -> None:
    random = Random(region)
    lookups = [
        place.caller_address
        for place in fleet.instances.values()
        if place.region == region
    ]
    callers = [
        Caller(_KEYS[number % 2], lookups, random, address)
        for number, address in enumerate(client_addresses(region))
    ]

    async def send() -> None:
        outcomes.append(await random.choice(callers).run(_JOB))

    seconds = _SETTLE_S + _LIMIT_S
    await send_at(poisson_times(_PER_REGION_PER_S, seconds, random), send)


async def _drain(fleet: Any) -> tuple[int, float]:
    """Begin the drain; return its time and when the plan is at its end."""
    place = next(iter(fleet.instances.values()))
    url = f'http://{place.operator_address}/v1/status'
    await fleet.publisher().edit(partial(set_drain, name=_DRAINED, undo=False))
    accepted_ns = time.monotonic_ns()
    revision = -1
    changed = time.monotonic()
    planned_s = 0.0
    while time.monotonic_ns() - accepted_ns < (_LIMIT_S - 5) * SECOND_NS:
        status = await fetch_json(url)
        found = status['plans'][_JOB.service]
        if found != revision:
            revision = found
            changed = time.monotonic()
            planned_s = (time.monotonic_ns() - accepted_ns) / SECOND_NS
        elif time.monotonic() - changed > _STABLE_S:
            break
        await asyncio.sleep(0.2)
    return accepted_ns, planned_s


async def _spans(
    servers: list[BackendServer], since_ns: int
) -> list[tuple[int, int]]:
    """Return start and end of the requests that the servers ran."""
    spans = []
    for server in servers:
        found = await fetch_json(f'http://{server.address}/-/records')
        spans += [
            (record['started_ns'], record['ended_ns'])
            for record in found['records']
            if record['outcome'] == 'done'
            and record['account']
            and record['started_ns'] >= since_ns
        ]
    return spans


def _fullest(spans: list[tuple[int, int]]) -> float:
    """Return the largest mean of requests in flight over a window."""
    busy: dict[int, int] = {}
    for start, end in spans:
        while start < end:
            window = start // _WINDOW_NS
            stop = min(end, (window + 1) * _WINDOW_NS)
            busy[window] = busy.get(window, 0) + stop - start
            start = stop
    return max(busy.values(), default=0) / _WINDOW_NS
