"""Look-ups, latency, fairness, withdrawal and drain at nine daemons."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tools.measurements.registry import Reading, measurement
from tools.trial.drain import run_drain
from tools.trial.fleets import StockFleet, running
from tools.trial.flood import run_flood, time_withdrawal
from tools.trial.latency import (
    SHARES,
    Comparison,
    compare_full,
    compare_light,
    compare_uneven,
)
from tools.trial.layouts import client_addresses, place_trial
from tools.trial.lookups import run_lookups
from tools.trial.usage import busyness, processor_time_s

_NETWORK = 64
_SETTLE_S = 3
_LOOKUPS_S = 5
# 766/s in a quarter of a core.
_LOOKUPS_PER_S = 4 * 766
_ADDED_P50_MS = 2
_FAIR_SHARE = 0.95
_IN_RATE_REFUSED = 0.001
_DRAIN_RATIO = 1.2
_RESERVE = 0.15
_WITHDRAWN_S = 3
_ENTRY = 'addis-a-0'

_Steps = tuple[Callable[[Any], Awaitable[tuple[Reading, ...]]], ...]


@measurement('requests')
def measure_requests() -> tuple[Reading, ...]:
    """Measure look-ups, latency, fairness, drain and withdrawal."""
    return asyncio.run(
        _run((_lookups, _light, _full, _uneven, _flood, _drain, _withdrawal))
    )


async def _run(steps: _Steps) -> tuple[Reading, ...]:
    readings: list[Reading] = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = place_trial(
            Path(folder), _NETWORK, cap=(100_000, 8), more_servers=2
        )
        async with running(deployment, StockFleet) as fleet:
            await asyncio.sleep(_SETTLE_S)
            for step in steps:
                readings.extend(await step(fleet))
    return tuple(readings)


async def _lookups(fleet: Any) -> tuple[Reading, ...]:
    pid = fleet.daemons[_ENTRY].pid
    before = processor_time_s(pid)
    count = await run_lookups(
        fleet.instances[_ENTRY].caller_address,
        client_addresses('addis'),
        _LOOKUPS_S,
    )
    used = processor_time_s(pid) - before
    return (
        Reading(
            'look-ups over HTTP per second of processor time',
            count / used,
            '1/s',
            target=_LOOKUPS_PER_S,
            is_upper_bound=False,
            note=f'{count} look-ups in {used:.2f} s of processor time, '
            f'control plane included; {busyness()}',
        ),
    )


async def _light(fleet: Any) -> tuple[Reading, ...]:
    found = await compare_light(fleet)
    return _added('light load', found, _ADDED_P50_MS)


async def _full(fleet: Any) -> tuple[Reading, ...]:
    found = await compare_full(fleet)
    return _added('80% of slots', found, _ADDED_P50_MS)


async def _uneven(fleet: Any) -> tuple[Reading, ...]:
    found = await compare_uneven(fleet)
    return (
        *(
            Reading(
                f'latency p{share * 100:g}, one slow server of three',
                own,
                'ms',
                baseline=base,
                note=f'baseline: round robin without reports, '
                f'{found.baseline_refused:.1%} of it shed; '
                f'{found.count} requests; {busyness()}',
            )
            for share, own, base in zip(
                SHARES, found.own, found.baseline, strict=True
            )
        ),
        _not_served('one slow server of three', found),
    )


def _added(load: str, found: Comparison, p50_ms: float) -> tuple[Reading, ...]:
    note = (
        f'own {", ".join(f"{one:.1f}" for one in found.own)} ms, direct '
        f'{", ".join(f"{one:.1f}" for one in found.baseline)} ms, '
        f'{found.count} requests each; {busyness()}'
    )
    rows = zip(SHARES, found.own, found.baseline, strict=True)
    return (
        *(
            Reading(
                f'added latency p{share * 100:g}, {load}',
                own - direct,
                'ms',
                target=p50_ms if share == SHARES[0] else None,
                note=note,
            )
            for share, own, direct in rows
        ),
        _not_served(load, found),
    )


def _not_served(load: str, found: Comparison) -> Reading:
    return Reading(
        f'requests not served, {load}',
        found.refused * 100,
        '%',
        baseline=found.baseline_refused * 100,
        note='baseline: direct calls without retries',
    )


async def _flood(fleet: Any) -> tuple[Reading, ...]:
    found = await run_flood(fleet)
    note = (
        f'church-offices sends five times its rate, five others 70% of '
        f'theirs, over nine daemons for 12 s; {busyness()}'
    )
    return (
        Reading(
            'worst-served account, by an ideal central bucket',
            found.worst_share,
            'share',
            target=_FAIR_SHARE,
            is_upper_bound=False,
            note=f'{found.worst}; {note}',
        ),
        Reading(
            'in-rate refusals while an account floods',
            found.in_rate_refused,
            'share',
            target=_IN_RATE_REFUSED,
            note=f'of {found.in_rate} in-rate requests; {note}',
        ),
        Reading(
            'admitted to the flooding account, by rate and burst',
            found.flooded_share,
            'share',
            note='the answers come up to 0.1 s after the 12 s; ' + note,
        ),
        Reading('other failures', found.other_failures, 'requests', note=note),
    )


async def _withdrawal(fleet: Any) -> tuple[Reading, ...]:
    served_s, refused_s = await time_withdrawal(fleet)
    note = (
        'open connections at nine daemons, a request each 0.1 s; ' + busyness()
    )
    return (
        Reading(
            'withdrawal of a key: last request accepted at any daemon',
            served_s,
            's',
            target=_WITHDRAWN_S,
            note=note,
        ),
        Reading(
            'withdrawal of a key: first refusal', refused_s, 's', note=note
        ),
    )


async def _drain(fleet: Any) -> tuple[Reading, ...]:
    found = await run_drain(fleet)
    note = (
        f'gondar had {found.share:.0%} of the traffic, {found.steps} steps of '
        f'10% each 8 s, TTL 5 s; last step in force after '
        f'{found.planned_s:.1f} s; {found.failed} of {found.sent} requests '
        f'not served; {busyness()}'
    )
    return (
        Reading(
            'drain of a region: last request there',
            found.drained_s,
            's',
            baseline=found.best_s,
            target=_DRAIN_RATIO * found.best_s,
            note=f'baseline: the best that the cap allows; {note}',
        ),
        Reading(
            'drain of a region: headroom on the fullest region',
            found.headroom * 100,
            '% of slots',
            target=_RESERVE * 100,
            is_upper_bound=False,
            note=f'means of 3 s; {note}',
        ),
    )
