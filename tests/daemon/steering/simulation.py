"""Simulation of proposers, a faulty platform, reports and look-up responses."""

from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

from attrs import Factory, define

from geraniumshelf_core.configuration.model import (
    BackendServer,
    Configuration,
    Region,
    Service,
    ShiftCap,
    Zone,
)
from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.loads.commands import record_demand, record_loads
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_core.lookup.shares import Shares, count_moved
from geraniumshelf_core.messages.steering import DemandReport, LoadReport
from geraniumshelf_core.plan.model import Plan, decode_plan
from geraniumshelf_core.units import MICROS_PER_UNIT, SECOND_NS
from geraniumshelf_daemon.platform.interface import (
    ListedInstance,
    StoredObject,
)
from geraniumshelf_daemon.steering.applied_plans import AppliedPlans
from geraniumshelf_daemon.steering.exchange import PlanExchange
from geraniumshelf_daemon.steering.plans import PlanService
from geraniumshelf_daemon.steering.proposer import PlanProposer

REGIONS = ('a', 'b', 'c')
SLOTS = 20
CAP_PPM = 100_000
STEP_S = 10
TTL_S = 5
ENTRIES = tuple(
    EntryInstance(region, f'{region}1', region, region, 'p')
    for region in REGIONS
)


def run_without_waiting(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that must not wait for anything."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('the coroutine waited instead of returning')


@define
class SimulatedEnvironment:
    """Time, configuration, entries and watchers, the same for all daemons."""

    now: int = 1000 * SECOND_NS
    revision: int = 1
    version: int = 1
    drained: tuple[str, ...] = ()
    cap_ppm: int = CAP_PPM
    members: tuple[EntryInstance, ...] = ENTRIES

    @property
    def configuration(self) -> Configuration:
        return Configuration(
            'd',
            services=(
                Service(
                    's',
                    (),
                    ShiftCap(self.cap_ppm, STEP_S),
                    lookup_ttl_s=TTL_S,
                ),
            ),
            regions=tuple(Region(name) for name in REGIONS),
            zones=tuple(Zone(f'{name}1', name, 1) for name in REGIONS),
            servers=tuple(
                BackendServer(name, 's', f'{name}1', '', SLOTS, 9)
                for name in REGIONS
            ),
            drained=self.drained,
        )

    def is_watcher(self, now: int) -> bool:
        return True

    def entries(self) -> tuple[EntryInstance, ...]:
        return self.members

    def subscribe(self, listener: object) -> None:
        """Do nothing: the configuration is read whenever it is needed."""


@define
class FaultyPlatform:
    """Platform that stores one plan.

    Attributes:
        environment: Time, configuration and entries of all daemons.
        mode: Outcome of the next calls. ``works``: they succeed. ``down``:
            they fail. ``lost``: a write succeeds, but its response is lost.
            ``slow``: a write fails and takes effect later.
        stored: The stored plan.
        writes: Time and plan of each successful write.
        delayed: Arguments of writes that take effect later.
        listed: Instances that the platform lists.
    """

    environment: SimulatedEnvironment
    mode: str = 'works'
    stored: StoredObject | None = None
    writes: list[tuple[int, Plan]] = Factory(list)
    delayed: list[tuple[str, bytes, int]] = Factory(list)
    listed: tuple[ListedInstance, ...] = tuple(
        ListedInstance(region, f'{region}1', '', False) for region in REGIONS
    )

    async def get(self, name: str) -> StoredObject:
        self._fail_if('down')
        if self.stored is None:
            raise PlatformError(ResultCode.OBJECT_MISSING, name)
        return self.stored

    async def put(self, name: str, content: bytes, expected: int) -> int:
        self._fail_if('down')
        if self.mode == 'slow':
            self.delayed.append((name, content, expected))
        else:
            self._store(name, content, expected)
        self._fail_if('slow')
        self._fail_if('lost')
        return self.stored.version

    def land_delayed(self) -> None:
        """Let a delayed write take effect after its caller has timed out."""
        try:
            self._store(*self.delayed.pop(0))
        except PlatformError as error:
            assert error.code is ResultCode.VERSION_CONFLICT

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        self._fail_if('down')
        return self.listed

    def _store(self, name: str, content: bytes, expected: int) -> None:
        version = self.stored.version if self.stored else 0
        if expected != version:
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)
        self.stored = StoredObject(name, version + 1, content)
        self.writes.append((self.environment.now, decode_plan(content)))

    def _fail_if(self, mode: str) -> None:
        if self.mode == mode:
            raise PlatformError(ResultCode.PLATFORM_UNREACHABLE, mode)


# Nodes have no peers: they receive plans only by reading the platform.
_NO_PEERS = SimpleNamespace(connected_peers=tuple)


@define
class Node:
    """A daemon that proposes plans and serves look-ups.

    Its clock has an offset, and a restart clears its state.
    """

    environment: SimulatedEnvironment
    platform: FaultyPlatform
    offset: int
    sequence: int = 0
    load_table: LoadTable = Factory(LoadTable)
    proposer: PlanProposer | None = None
    applied: AppliedPlans | None = None
    is_cut_off: bool = False
    # Times and shares of the responses within the last step interval.
    responses: list[tuple[int, dict[str, Shares]]] = Factory(list)

    def restart(self) -> None:
        self.load_table = LoadTable()
        exchange = PlanExchange(
            PlanService(),
            _NO_PEERS,
            self.platform,
            self.environment,
            self.clock,
        )
        self.proposer = PlanProposer(
            self.environment, exchange, self.load_table, self.environment
        )
        self.applied = AppliedPlans(
            exchange.plans, self.environment, self.clock
        )
        self.responses.clear()

    def clock(self) -> int:
        return self.environment.now + self.offset

    def read_plan(self) -> None:
        if self.platform.stored is not None and not self.is_cut_off:
            self.proposer.exchange.adopt(self.platform.stored)

    def propose(self, mode: str = 'works') -> None:
        self.platform.mode = 'down' if self.is_cut_off else mode
        run_without_waiting(self.proposer.propose_all())
        self.platform.mode = 'works'

    def max_moved_ppm(self) -> int:
        """Return the largest move of a source within the step interval."""
        plan = self.applied.plan('s')
        if plan is None:
            return 0
        shares = {source: plan.shares_of(source) for source in REGIONS}
        start = self.environment.now - STEP_S * SECOND_NS
        self.responses = [row for row in self.responses if row[0] > start]
        self.responses.append((self.environment.now, shares))
        earliest = self.responses[0][1]
        return max(
            count_moved(earliest[source], shares[source]) for source in REGIONS
        )

    def receive_load_report(
        self,
        region: str,
        in_flight: int,
        age_s: int = 0,
        slots: int = SLOTS,
        leaving: int = 0,
    ) -> None:
        self.sequence += 1
        row = (region, in_flight, slots, leaving)
        record_loads(
            self.load_table,
            LoadReport(region, self.sequence, 2, age_s * 1000, (row,)),
            self.clock(),
        )

    def receive_demand_report(self, instance: str, requests: float) -> None:
        self.sequence += 1
        row = ('s', instance, int(requests * MICROS_PER_UNIT))
        record_demand(
            self.load_table,
            DemandReport(instance, instance, self.sequence, 2, (row,)),
            self.clock(),
        )
