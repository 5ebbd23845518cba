"""Cost of the block table, look-up answers and plan steps at design limits."""

import random
import sys
import time
from collections.abc import Iterator

from attrs import define

from geraniumshelf_core.configuration.model import (
    ClientBlock,
    Configuration,
    Service,
    ShiftCap,
)
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.lookup.blocks import (
    BlockTable,
    Network,
    build_table,
)
from geraniumshelf_core.lookup.shares import initial_shares
from geraniumshelf_core.plan.headroom import Demand
from geraniumshelf_core.plan.model import Plan, SourcePlan
from geraniumshelf_core.plan.steps import StepInputs, first_plan, next_plan
from geraniumshelf_core.plan.target import scale_weights
from geraniumshelf_core.units import MICROS_PER_UNIT
from geraniumshelf_daemon.lookups.service import LookupService
from tools.measurements.registry import Reading, measurement

_NETWORK_COUNT = 3_300_000
_HOST_BITS = 10
_SITE_COUNT = 890
_REGION_COUNT = 22
_SEED = 20_261_204
_BYTES_PER_MIB = 1 << 20


@measurement('block-table')
def measure_block_table() -> tuple[Reading, ...]:
    """Measure a table of 3.3 million blocks that belong to 890 sites."""
    start = time.process_time()
    count = sum(1 for _ in _generate_networks())
    generated_at = time.process_time()
    table = build_table(_generate_networks())
    built_at = time.process_time()
    build_s = built_at - generated_at - (generated_at - start)
    table_bytes = sys.getsizeof(table.starts) + sys.getsizeof(table.sites)
    return (
        Reading(
            'block table: memory',
            table_bytes / _BYTES_PER_MIB,
            'MiB',
            target=25,
            note=f'{count} networks, {len(table.starts)} blocks',
        ),
        Reading(
            'block table: time to build',
            build_s,
            's',
            note='without the generation of the networks',
        ),
        Reading('block table: time to find', _measure_find_us(table), 'us'),
    )


@measurement('lookup-answer')
def measure_answers() -> tuple[Reading, ...]:
    """Measure look-up answers without the HTTP server."""
    sources = _FixedSources()
    service = LookupService(sources, sources, sources, 'r0')
    generator = random.Random(_SEED)
    clients = [
        f'10.{generator.randrange(256)}.{generator.randrange(256)}.1'
        for _ in range(10_000)
    ]
    for client in clients:
        service.look_up('s', client, 0)
    start = time.process_time()
    for client in clients * 5:
        service.look_up('s', client, 0)
    elapsed = time.process_time() - start
    # The target is 766 answers per second with a quarter of a core.
    return (
        Reading(
            'look-up answers per second of processor time',
            len(clients) * 5 / elapsed,
            '1/s',
            target=4 * 766,
            is_upper_bound=False,
            note='the answer alone, without HTTP',
        ),
    )


@measurement('plan-step')
def measure_plan_step() -> tuple[Reading, ...]:
    """Measure one plan step of a drain with 22 regions."""
    names = [f'r{number:02}' for number in range(_REGION_COUNT)]
    generator = random.Random(_SEED)
    target_weights = {
        source: scale_weights(
            {name: generator.randrange(1, 100) for name in names}
        )
        for source in names
    }
    drained_weights = {
        source: scale_weights({**weights, names[0]: 0})
        for source, weights in target_weights.items()
    }
    demand = Demand(dict.fromkeys(names, 100 * MICROS_PER_UNIT), True)
    region_headroom = dict.fromkeys(names, 50 * MICROS_PER_UNIT)
    plan = first_plan(
        's', StepInputs(target_weights, {}, demand, region_headroom, 1), 'p'
    )
    inputs = StepInputs(drained_weights, {}, demand, region_headroom, 10_000)
    steps = 0
    start = time.process_time()
    while (step := next_plan(plan, inputs, 'p')).plan is not None:
        plan = step.plan
        steps += 1
    elapsed = time.process_time() - start
    interval_counts = [len(source.shares) for source in plan.sources]
    return (
        Reading(
            'plan step at 22 regions',
            elapsed / (steps + 1) * 1000,
            'ms',
            note=f'{steps} steps, at most {max(interval_counts)} intervals',
        ),
    )


@define
class _FixedSources:
    """Configuration, plan and entry instances of 9 daemons in 3 regions."""

    revision: int = 1
    version: int = 1

    @property
    def configuration(self) -> Configuration:
        return _CONFIGURATION

    def subscribe(self, listener: object) -> None:
        """Ignore the listener, because the configuration never changes."""

    def plan(self, service: str) -> Plan:
        return _PLAN

    def entries(self) -> tuple[EntryInstance, ...]:
        return _ENTRIES


_CONFIGURATION = Configuration(
    'd',
    services=(Service('s', (), ShiftCap(100_000, 10)),),
    blocks=tuple(
        ClientBlock(f'10.{number}.0.0/16', f'r{number % 3}')
        for number in range(256)
    ),
)
_PLAN = Plan(
    's',
    1,
    'p',
    tuple(
        SourcePlan(
            f'r{number}',
            initial_shares({'r0': 300_000, 'r1': 300_000, 'r2': 400_000}),
        )
        for number in range(3)
    ),
)
_ENTRIES = tuple(
    EntryInstance(
        f'e{number}',
        f'z{number % 6}',
        f'r{number % 3}',
        f'127.0.0.1:{8000 + number}',
        f'{number}.77.123',
    )
    for number in range(9)
)


def _generate_networks() -> Iterator[Network]:
    generator = random.Random(_SEED)
    for number in range(_NETWORK_COUNT):
        site = generator.randrange(_SITE_COUNT)
        yield Network(number << _HOST_BITS, 32 - _HOST_BITS, site)


def _measure_find_us(table: BlockTable) -> float:
    generator = random.Random(_SEED)
    addresses = [generator.randrange(1 << 32) for _ in range(200_000)]
    start = time.process_time()
    for address in addresses:
        table.find(address)
    return (time.process_time() - start) / len(addresses) * 1e6
