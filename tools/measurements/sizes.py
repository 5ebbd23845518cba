"""Sizes of objects and frames, and costs of decisions, at the design limits."""

import time
import tracemalloc
from collections.abc import Callable

import cbor2

from geraniumshelf_core.allowance.floors import slot_floor
from geraniumshelf_core.allowance.owners import rank_instances
from geraniumshelf_core.codec import Frame, encode_frame
from geraniumshelf_core.configuration.head import (
    MAX_RECENT_APPLY_IDS,
    Head,
    RetiredPart,
    encode_head,
)
from geraniumshelf_core.configuration.model import ClientBlock, Configuration
from geraniumshelf_core.configuration.parts import join_parts, split_parts
from geraniumshelf_core.lookup.shares import initial_shares
from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_core.plan.model import Plan, SourcePlan, encode_plan
from geraniumshelf_core.plan.target import scale_weights
from tools.measurements.registry import Reading, measurement

_DAEMON_COUNT = 4700
_ZONE_COUNT = 60
_REGION_COUNT = 22
_MAX_OBJECT_BYTES = 1_000_000
# 512 parts of client blocks, 144 of keys and accounts, about ten others.
_PART_COUNT = 666
_RETIRED_PART_COUNT = 32
_CLIENT_BLOCK_COUNT = 30_000
_SERVICE_COUNT = 4
_LOGICAL_CLOCK = 1 << 40
_REGION_NAMES = tuple(f'region-{number:02}' for number in range(_REGION_COUNT))


@measurement('design-sizes')
def measure_sizes() -> tuple[Reading, ...]:
    """Measure the sizes of objects and frames with names of typical length."""
    frames = {
        'heartbeat': Heartbeat(
            1 << 62, 100_000, 26_000, 'region-01-a/77', 29_700_000, False, 800
        ),
        'load report of four servers': LoadReport(
            _ORIGIN,
            1000,
            11,
            0,
            tuple(
                (f's-{n}-region-01-a', 5, 7, 0) for n in range(_SERVICE_COUNT)
            ),
        ),
        'demand report, idle': DemandReport(
            _ORIGIN[:14], _ORIGIN, 1000, 11, ()
        ),
        'demand report of four services': DemandReport(
            _ORIGIN[:14],
            _ORIGIN,
            1000,
            11,
            tuple(
                (f's-{n}', 'region-01', 1_500_000)
                for n in range(_SERVICE_COUNT)
            ),
        ),
    }
    return (
        _object_size_reading(
            'configuration head of 666 parts', encode_head(_make_head())
        ),
        _object_size_reading(
            'plan of 22 regions, whole intervals', encode_plan(_make_plan())
        ),
        _object_size_reading(
            'instance list of 4,700', cbor2.dumps(_make_instance_rows())
        ),
        *(
            Reading(
                f'size of a {name}',
                len(encode_frame(Frame(_LOGICAL_CLOCK, 0, message))),
                'B',
            )
            for name, message in frames.items()
        ),
    )


@measurement('design-costs')
def measure_costs() -> tuple[Reading, ...]:
    """Measure the cost of membership and configuration changes to a daemon."""
    names = [row[0] for row in _make_instance_rows()]
    layout = tuple(
        f'{row[1]}/{n}' for n, row in enumerate(_make_instance_rows())
    )
    blocks = tuple(
        ClientBlock(
            f'10.{n >> 12}.{n >> 4 & 255}.{(n & 15) * 16}/28',
            _REGION_NAMES[n % _REGION_COUNT],
        )
        for n in range(_CLIENT_BLOCK_COUNT)
    )
    parts = split_parts(Configuration('d', blocks=blocks))
    del blocks
    join_s = _cpu_time_s(lambda: join_parts(parts, parts))
    tracemalloc.start()
    decoded_configuration = join_parts(parts, parts)
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del decoded_configuration
    encoded_bytes = sum(map(len, parts.values()))
    return (
        Reading(
            'owner of an account among 4,700 holders',
            _cpu_time_s(lambda: rank_instances('account-1', names)) * 1e3,
            'ms',
        ),
        Reading(
            'floor of an account among 4,700 slots',
            _cpu_time_s(lambda: slot_floor(100, 100, layout[2000], (layout,)))
            * 1e6,
            'us',
        ),
        Reading(
            'configuration: time to decode a client block',
            join_s / _CLIENT_BLOCK_COUNT * 1e6,
            'us',
            note=f'{_CLIENT_BLOCK_COUNT} blocks',
        ),
        Reading(
            'configuration: memory of a decoded client block',
            allocated_bytes / _CLIENT_BLOCK_COUNT,
            'B',
            note=f'traced allocations, {_CLIENT_BLOCK_COUNT} blocks',
        ),
        Reading(
            'configuration: encoded client block',
            encoded_bytes / _CLIENT_BLOCK_COUNT,
            'B',
        ),
    )


_ORIGIN = 'region-01-a-77.4611686018427387904'


def _object_size_reading(name: str, encoded_bytes: bytes) -> Reading:
    return Reading(
        f'size of the {name}', len(encoded_bytes), 'B', target=_MAX_OBJECT_BYTES
    )


def _make_head() -> Head:
    return Head(
        26_000,
        tuple(f'{number:064x}' for number in range(_PART_COUNT)),
        tuple(f'{number:024x}' for number in range(MAX_RECENT_APPLY_IDS)),
        tuple(
            RetiredPart(f'{number:064x}', 25_990)
            for number in range(_RETIRED_PART_COUNT)
        ),
    )


def _make_plan() -> Plan:
    weights = scale_weights(
        {name: number + 1 for number, name in enumerate(_REGION_NAMES)}
    )
    failover = tuple((name, 10_000) for name in _REGION_NAMES)
    return Plan(
        'service',
        10,
        'f' * 32,
        tuple(
            SourcePlan(name, initial_shares(weights), failover)
            for name in _REGION_NAMES
        ),
    )


def _make_instance_rows() -> tuple[tuple[str, str, str, bool], ...]:
    rows = []
    for number in range(_DAEMON_COUNT):
        zone_number = number % _ZONE_COUNT
        region = _REGION_NAMES[zone_number % _REGION_COUNT]
        zone = f'{region}-{"abc"[zone_number // _REGION_COUNT]}'
        address = f'10.{zone_number}.{number // 256}.{number % 256}:18001'
        rows.append((f'{zone}-{number // _ZONE_COUNT}', zone, address, False))
    return tuple(rows)


def _cpu_time_s(work: Callable[[], object]) -> float:
    start = time.process_time()
    work()
    return time.process_time() - start
