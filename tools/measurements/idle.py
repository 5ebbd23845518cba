"""Control cost and configuration changes at 9, 30 and 90 idle daemons."""

import asyncio
from functools import cache

from tools.measurements.registry import Reading, measurement
from tools.trial.idle import IdleCost, measure_idle

_CORE_SHARE = 1.4
_MEMORY_MB = 256
_BYTES_PER_S = 2000
_CHANGE_S = 3
_ACCOUNTS = 8
_MORE_ACCOUNTS = 64
# Slots of the two zones of each of three regions, and the loopback network.
_FLEETS = {9: ((2, 1), 61), 30: ((5, 5), 62), 90: ((15, 15), 63)}


@measurement('control-cost')
def measure_control_cost() -> tuple[Reading, ...]:
    """Measure what idle daemons cost, by their number."""
    readings: list[Reading] = []
    for count in _FLEETS:
        readings.extend(_readings(_cost(count, _ACCOUNTS)))
    return tuple(readings)


@measurement('control-cost-accounts')
def measure_account_cost() -> tuple[Reading, ...]:
    """Measure what further client accounts cost at nine daemons."""
    few = _cost(9, _ACCOUNTS)
    many = _cost(9, _MORE_ACCOUNTS)
    more = many.accounts - few.accounts
    core = (many.core_share - few.core_share) * 100 / more
    received = (many.peer_bytes - few.peer_bytes) / more
    return (
        *_readings(many),
        Reading('control: core share per account', core, '% of a core'),
        Reading('control: peer bytes per account', received, 'B/s'),
    )


@measurement('configuration-change')
def measure_change() -> tuple[Reading, ...]:
    """Measure changes from their acceptance to the last daemon."""
    return tuple(
        Reading(
            f'configuration change at {count} daemons',
            max(_cost(count, _ACCOUNTS).changes_s),
            's',
            target=_CHANGE_S,
            note='worst of three changes, until in force at the last daemon; '
            + _cost(count, _ACCOUNTS).busyness,
        )
        for count in _FLEETS
    )


@cache
def _cost(count: int, accounts: int) -> IdleCost:
    slots, network = _FLEETS[count]
    return asyncio.run(measure_idle(slots, accounts, network))


def _readings(cost: IdleCost) -> tuple[Reading, ...]:
    label = f'{cost.daemons} daemons, {cost.accounts} accounts'
    note = f'idle, 8 s, 24 backend servers; {cost.busyness}'
    payload = f'payload, sent and received; {note}'
    return (
        Reading(
            f'control: core share, {label}',
            cost.core_share * 100,
            '% of a core',
            target=_CORE_SHARE,
            note=f'mean; most {cost.core_shares[0] * 100:.2f}; {note}',
        ),
        Reading(
            f'control: resident memory, {label}',
            cost.resident,
            'MiB',
            target=_MEMORY_MB,
            note=f'largest; {note}',
        ),
        Reading(
            f'control: peer bytes, {label}',
            cost.peer_bytes,
            'B/s',
            target=_BYTES_PER_S,
            note=f'mean; most {cost.peer_bytes_most:.0f}; {payload}',
        ),
        Reading(
            f'control: peer messages, {label}',
            cost.peer_messages,
            '1/s',
            note=payload,
        ),
        Reading(
            f'control: platform bytes, {label}',
            cost.platform_bytes,
            'B/s',
            note=f'mean of all daemons; {payload}',
        ),
        Reading(
            f'control: platform calls, {label}',
            cost.platform_calls,
            '1/s',
            note=f'of all daemons together; {note}',
        ),
    )
