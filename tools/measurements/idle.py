"""Control cost and configuration changes with 9, 30 and 90 idle daemons."""

import asyncio
from functools import cache

from tools.measurements.registry import Reading, measurement
from tools.trial.idle import IdleCosts, measure_idle

_MAX_CORE_PERCENT = 1.4
_MAX_MEMORY_MIB = 256
_MAX_PEER_BYTES_PER_S = 2000
_MAX_CHANGE_S = 3
_ACCOUNT_COUNT = 8
_LARGE_ACCOUNT_COUNT = 64
# By number of daemons: the slots of the two zones of each of three regions, and
# the second octet of the loopback addresses.
_FLEETS = {9: ((2, 1), 61), 30: ((5, 5), 62), 90: ((15, 15), 63)}


@measurement('control-cost')
def measure_control_cost() -> tuple[Reading, ...]:
    """Measure the cost of idle daemons, by their number."""
    readings: list[Reading] = []
    for count in _FLEETS:
        readings.extend(_cost_readings(_measure_costs(count, _ACCOUNT_COUNT)))
    return tuple(readings)


@measurement('control-cost-accounts')
def measure_account_cost() -> tuple[Reading, ...]:
    """Measure the cost of additional client accounts with nine daemons."""
    few = _measure_costs(9, _ACCOUNT_COUNT)
    many = _measure_costs(9, _LARGE_ACCOUNT_COUNT)
    added_accounts = many.account_count - few.account_count
    core_percent = (many.core_share - few.core_share) * 100 / added_accounts
    peer_bytes = (many.peer_bytes_per_s - few.peer_bytes_per_s) / added_accounts
    return (
        *_cost_readings(many),
        Reading('control: core share per account', core_percent, '% of a core'),
        Reading('control: peer bytes per account', peer_bytes, 'B/s'),
    )


@measurement('configuration-change')
def measure_change() -> tuple[Reading, ...]:
    """Measure the time until a configuration change is in force everywhere."""
    return tuple(
        Reading(
            f'configuration change at {count} daemons',
            max(_measure_costs(count, _ACCOUNT_COUNT).changes_s),
            's',
            target=_MAX_CHANGE_S,
            note='worst of three changes, until in force at the last daemon; '
            + _measure_costs(count, _ACCOUNT_COUNT).machine_load,
        )
        for count in _FLEETS
    )


@cache
def _measure_costs(count: int, accounts: int) -> IdleCosts:
    slots, network = _FLEETS[count]
    return asyncio.run(measure_idle(slots, accounts, network))


def _cost_readings(cost: IdleCosts) -> tuple[Reading, ...]:
    label = f'{cost.daemon_count} daemons, {cost.account_count} accounts'
    note = f'idle, 8 s, 24 backend servers; {cost.machine_load}'
    payload = f'payload, sent and received; {note}'
    return (
        Reading(
            f'control: core share, {label}',
            cost.core_share * 100,
            '% of a core',
            target=_MAX_CORE_PERCENT,
            note=f'mean; most {cost.core_shares[0] * 100:.2f}; {note}',
        ),
        Reading(
            f'control: resident memory, {label}',
            cost.max_resident_mib,
            'MiB',
            target=_MAX_MEMORY_MIB,
            note=f'largest; {note}',
        ),
        Reading(
            f'control: peer bytes, {label}',
            cost.peer_bytes_per_s,
            'B/s',
            target=_MAX_PEER_BYTES_PER_S,
            note=f'mean; most {cost.max_peer_bytes_per_s:.0f}; {payload}',
        ),
        Reading(
            f'control: peer messages, {label}',
            cost.peer_messages_per_s,
            '1/s',
            note=payload,
        ),
        Reading(
            f'control: platform bytes, {label}',
            cost.platform_bytes_per_s,
            'B/s',
            note=f'mean of all daemons; {payload}',
        ),
        Reading(
            f'control: platform calls, {label}',
            cost.platform_calls_per_s,
            '1/s',
            note=f'of all daemons together; {note}',
        ),
    )
