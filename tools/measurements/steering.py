"""Client blocks, look-up answers and plan steps at the design target."""

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
from geraniumshelf_core.units import MICRO_TOKENS
from geraniumshelf_daemon.lookups.service import LookupService
from tools.measurements.registry import Reading, measurement

_BLOCKS = 3_300_000
_BLOCK_BITS = 10
_SITES = 890
_REGIONS = 22
_SEED = 20_261_204
_MEBIBYTE = 1 << 20


@measurement('block-table')
def measure_block_table() -> tuple[Reading, ...]:
    """Measure the table of 3.3 million blocks of 890 sites."""
    start = time.process_time()
    count = sum(1 for _ in _networks())
    generated = time.process_time()
    table = build_table(_networks())
    built = time.process_time()
    build_s = built - generated - (generated - start)
    kept = sys.getsizeof(table.starts) + sys.getsizeof(table.sites)
    return (
        Reading(
            'block table: memory',
            kept / _MEBIBYTE,
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
        Reading('block table: time to find', _time_to_find(table), 'us'),
    )


@measurement('lookup-answer')
def measure_answers() -> tuple[Reading, ...]:
    """Measure answers alone, without the HTTP server."""
    sources = _Sources()
    service = LookupService(sources, sources, sources, 'r0')
    generator = random.Random(_SEED)
    clients = [
        f'10.{generator.randrange(256)}.{generator.randrange(256)}.1'
        for _ in range(10_000)
    ]
    for client in clients:
        service.answer('s', client, 0)
    start = time.process_time()
    for client in clients * 5:
        service.answer('s', client, 0)
    elapsed = time.process_time() - start
    # 766/s in a quarter of a core.
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
    """Measure one plan step at 22 regions with one of them drained."""
    names = [f'r{number:02}' for number in range(_REGIONS)]
    generator = random.Random(_SEED)
    spread = {
        source: scale_weights(
            {name: generator.randrange(1, 100) for name in names}
        )
        for source in names
    }
    drained = {
        source: scale_weights({**weights, names[0]: 0})
        for source, weights in spread.items()
    }
    demand = Demand(dict.fromkeys(names, 100 * MICRO_TOKENS), True)
    rooms = dict.fromkeys(names, 50 * MICRO_TOKENS)
    plan = first_plan('s', StepInputs(spread, {}, demand, rooms, 1), 'p')
    situation = StepInputs(drained, {}, demand, rooms, 10_000)
    steps = 0
    start = time.process_time()
    while (step := next_plan(plan, situation, 'p')).plan is not None:
        plan = step.plan
        steps += 1
    elapsed = time.process_time() - start
    widths = [len(source.shares) for source in plan.sources]
    return (
        Reading(
            'plan step at 22 regions',
            elapsed / (steps + 1) * 1000,
            'ms',
            note=f'{steps} steps, at most {max(widths)} intervals',
        ),
    )


@define
class _Sources:
    """The sources of a fleet of 9 instances in 3 regions."""

    revision: int = 1
    version: int = 1

    @property
    def configuration(self) -> Configuration:
        return _CONFIGURATION

    def subscribe(self, listener: object) -> None:
        """Nothing changes."""

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


def _networks() -> Iterator[Network]:
    generator = random.Random(_SEED)
    for number in range(_BLOCKS):
        site = generator.randrange(_SITES)
        yield Network(number << _BLOCK_BITS, 32 - _BLOCK_BITS, site)


def _time_to_find(table: BlockTable) -> float:
    generator = random.Random(_SEED)
    addresses = [generator.randrange(1 << 32) for _ in range(200_000)]
    start = time.process_time()
    for address in addresses:
        table.find(address)
    return (time.process_time() - start) / len(addresses) * 1e6
