"""Look-ups, latency, fairness, withdrawal and drain with nine daemons."""

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tools.measurements.registry import Reading, measurement
from tools.trial.deployments import client_addresses, write_trial_deployment
from tools.trial.drain import run_drain
from tools.trial.fleets import StockDeskFleet, run_fleet
from tools.trial.flood import measure_withdrawal, run_flood
from tools.trial.latency import (
    QUANTILES,
    LatencyComparison,
    compare_heavy_load,
    compare_light_load,
    compare_with_slow_server,
)
from tools.trial.lookups import run_lookups
from tools.trial.process_usage import cpu_time_s, describe_machine_load

_LOOPBACK_NETWORK = 64
_SETTLE_S = 3
_LOOKUP_DURATION_S = 5
# The target is 766 look-ups per second with a quarter of a core.
_MIN_LOOKUPS_PER_CPU_S = 4 * 766
_MAX_ADDED_P50_MS = 2
_MIN_FAIR_RATIO = 0.95
_MAX_IN_RATE_REFUSED_FRACTION = 0.001
_MAX_DRAIN_RATIO = 1.2
_MIN_HEADROOM = 0.15
_MAX_WITHDRAWAL_S = 3
_ENTRY_INSTANCE = 'addis-a-0'

_Steps = tuple[Callable[[Any], Awaitable[tuple[Reading, ...]]], ...]


@measurement('requests')
def measure_requests() -> tuple[Reading, ...]:
    """Measure look-ups, latency, fairness, drain and withdrawal."""
    return asyncio.run(
        _run_steps(
            (
                _measure_lookups,
                _measure_light_load,
                _measure_heavy_load,
                _measure_slow_server,
                _measure_flood,
                _measure_drain,
                _measure_withdrawal,
            )
        )
    )


async def _run_steps(steps: _Steps) -> tuple[Reading, ...]:
    readings: list[Reading] = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = write_trial_deployment(
            Path(folder),
            _LOOPBACK_NETWORK,
            shift_cap=(100_000, 8),
            extra_servers=2,
        )
        async with run_fleet(deployment, StockDeskFleet) as fleet:
            await asyncio.sleep(_SETTLE_S)
            for step in steps:
                readings.extend(await step(fleet))
    return tuple(readings)


async def _measure_lookups(fleet: Any) -> tuple[Reading, ...]:
    pid = fleet.daemons[_ENTRY_INSTANCE].pid
    before = cpu_time_s(pid)
    count = await run_lookups(
        fleet.instances[_ENTRY_INSTANCE].caller_address,
        client_addresses('addis'),
        _LOOKUP_DURATION_S,
    )
    cpu_s = cpu_time_s(pid) - before
    return (
        Reading(
            'look-ups over HTTP per second of processor time',
            count / cpu_s,
            '1/s',
            target=_MIN_LOOKUPS_PER_CPU_S,
            is_upper_bound=False,
            note=f'{count} look-ups in {cpu_s:.2f} s of processor time, '
            f'control plane included; {describe_machine_load()}',
        ),
    )


async def _measure_light_load(fleet: Any) -> tuple[Reading, ...]:
    result = await compare_light_load(fleet)
    return _added_latency_readings('light load', result, _MAX_ADDED_P50_MS)


async def _measure_heavy_load(fleet: Any) -> tuple[Reading, ...]:
    result = await compare_heavy_load(fleet)
    return _added_latency_readings('80% of slots', result, _MAX_ADDED_P50_MS)


async def _measure_slow_server(fleet: Any) -> tuple[Reading, ...]:
    result = await compare_with_slow_server(fleet)
    return (
        *(
            Reading(
                f'latency p{quantile * 100:g}, one slow server of three',
                daemon_ms,
                'ms',
                baseline=baseline_ms,
                note=f'baseline: round robin without reports, '
                f'{result.baseline_failed_fraction:.1%} of it shed; '
                f'{result.request_count} requests; {describe_machine_load()}',
            )
            for quantile, daemon_ms, baseline_ms in zip(
                QUANTILES, result.daemon_ms, result.baseline_ms, strict=True
            )
        ),
        _not_served_reading('one slow server of three', result),
    )


def _added_latency_readings(
    load: str, result: LatencyComparison, max_p50_ms: float
) -> tuple[Reading, ...]:
    note = (
        f'own {", ".join(f"{ms:.1f}" for ms in result.daemon_ms)} ms, direct '
        f'{", ".join(f"{ms:.1f}" for ms in result.baseline_ms)} ms, '
        f'{result.request_count} requests each; {describe_machine_load()}'
    )
    latencies = zip(
        QUANTILES, result.daemon_ms, result.baseline_ms, strict=True
    )
    return (
        *(
            Reading(
                f'added latency p{quantile * 100:g}, {load}',
                daemon_ms - direct_ms,
                'ms',
                target=max_p50_ms if quantile == QUANTILES[0] else None,
                note=note,
            )
            for quantile, daemon_ms, direct_ms in latencies
        ),
        _not_served_reading(load, result),
    )


def _not_served_reading(load: str, result: LatencyComparison) -> Reading:
    return Reading(
        f'requests not served, {load}',
        result.daemon_failed_fraction * 100,
        '%',
        baseline=result.baseline_failed_fraction * 100,
        note='baseline: direct calls without retries',
    )


async def _measure_flood(fleet: Any) -> tuple[Reading, ...]:
    result = await run_flood(fleet)
    note = (
        f'church-offices sends five times its rate, five others 70% of '
        f'theirs, over nine daemons for 12 s; {describe_machine_load()}'
    )
    return (
        Reading(
            'worst-served account, by an ideal central bucket',
            result.worst_admitted_ratio,
            'share',
            target=_MIN_FAIR_RATIO,
            is_upper_bound=False,
            note=f'{result.worst_account}; {note}',
        ),
        Reading(
            'in-rate refusals while an account floods',
            result.in_rate_refused_fraction,
            'share',
            target=_MAX_IN_RATE_REFUSED_FRACTION,
            note=f'of {result.in_rate_count} in-rate requests; {note}',
        ),
        Reading(
            'admitted to the flooding account, by rate and burst',
            result.flooding_admitted_ratio,
            'share',
            note='the answers come up to 0.1 s after the 12 s; ' + note,
        ),
        Reading(
            'other failures', result.other_failure_count, 'requests', note=note
        ),
    )


async def _measure_withdrawal(fleet: Any) -> tuple[Reading, ...]:
    served_s, refused_s = await measure_withdrawal(fleet)
    note = (
        'open connections at nine daemons, a request each 0.1 s; '
        + describe_machine_load()
    )
    return (
        Reading(
            'withdrawal of a key: last request accepted at any daemon',
            served_s,
            's',
            target=_MAX_WITHDRAWAL_S,
            note=note,
        ),
        Reading(
            'withdrawal of a key: first refusal', refused_s, 's', note=note
        ),
    )


async def _measure_drain(fleet: Any) -> tuple[Reading, ...]:
    result = await run_drain(fleet)
    note = (
        f'gondar had {result.traffic_fraction:.0%} of the traffic, '
        f'{result.step_count} steps of 10% each 8 s, TTL 5 s; '
        f'last step in force after {result.planned_s:.1f} s; '
        f'{result.failed_count} of {result.request_count} requests '
        f'not served; {describe_machine_load()}'
    )
    return (
        Reading(
            'drain of a region: last request there',
            result.drained_s,
            's',
            baseline=result.min_drain_s,
            target=_MAX_DRAIN_RATIO * result.min_drain_s,
            note=f'baseline: the best that the cap allows; {note}',
        ),
        Reading(
            'drain of a region: headroom on the fullest region',
            result.min_headroom * 100,
            '% of slots',
            target=_MIN_HEADROOM * 100,
            is_upper_bound=False,
            note=f'means of 3 s; {note}',
        ),
    )
