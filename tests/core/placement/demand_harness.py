"""Regions whose demand rises and falls in turn, in virtual time."""

from collections.abc import Callable, Mapping
from math import pi, sin
from random import Random

from attrs import define, field

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.cold_starts import confirm_list
from geraniumshelf_core.placement.commands import put_server
from geraniumshelf_core.placement.demand import (
    DemandReport,
    count_request,
    expire_reports,
    make_report,
    measure,
    record_report,
)
from geraniumshelf_core.placement.queries import region_order
from geraniumshelf_core.placement.spills import adjust_spills
from geraniumshelf_core.placement.state import (
    PlacementRequest,
    PlacementState,
    SpillState,
    TypicalWork,
)
from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.site.routing import hash_fraction
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

ZONES = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
REGIONS = ('a', 'b', 'c')
# Servers by region: one has about a tenth of them.
SERVERS = {'a': 46, 'b': 47, 'c': 10}
SLOTS = 3
# Mean requests a second of the callers of a region.
RATE = 200.0
PERIOD_S = 36.0
# Step of the spilled fraction of a daemon in each interval, for a cap of 15%
# of the requests in 2 s.
STEP = 0.0075
STEP_NS = SECOND_NS // 4
_OBJECTS = 400
_START_NS = 1000 * SECOND_NS
_REPORT_TICKS = 2


def _spread_objects() -> tuple[str, ...]:
    """Return objects with evenly spread hashes, so that counts are exact."""
    names = (f'o{number}' for number in range(20 * _OBJECTS))
    slots = {
        int(hash_fraction(f'{name}/desk') * _OBJECTS): name for name in names
    }
    return tuple(slots.values())


OBJECTS = _spread_objects()


def listed(name: str, zone: str, service: str = 'desk') -> ListedServer:
    """Return the store entry of a server."""
    return ListedServer(name, service, name, zone, SLOTS)


def home_regions(state: PlacementState) -> list[str]:
    """Return the region in which each object has its home."""
    return [
        next(region_order(state, PlacementRequest('desk', name)))
        for name in OBJECTS
    ]


def place_regions(state: PlacementState) -> dict[str, float]:
    """Return which fraction of the objects has its home in each region."""
    homes = home_regions(state)
    return {region: homes.count(region) / len(homes) for region in REGIONS}


@define(eq=False)
class Swing:
    """One daemon of each region, with the callers of the whole region.

    Attributes:
        work_ms: Time that a request takes at a warm server.
        servers: Number of servers by region.
        rates: Mean requests a second of the callers by region.
        policies: Policies of the daemons.
        is_lost: Whether a report from one region to another is lost.
        delay_ticks: Returns the steps that the next report is on its way.
        silent: Regions that send nothing.
        now: Current time.
        states: State of the daemon of each region.
        tick: Number of steps so far.
    """

    work_ms: float = 320
    servers: Mapping[str, int] = field(factory=lambda: dict(SERVERS))
    rates: Mapping[str, float] = field(
        factory=lambda: dict.fromkeys(REGIONS, RATE)
    )
    policies: Policies = DEFAULT_POLICIES
    is_lost: Callable[[str, str], bool] = lambda _from, _to: False
    delay_ticks: Callable[[], int] = lambda: 0
    silent: set[str] = field(factory=set)
    random: Random = field(factory=lambda: Random(1))
    now: Nanoseconds = _START_NS
    states: dict[str, PlacementState] = field(factory=dict)
    tick: int = 0
    # Reports on their way: tick of arrival, receiver and report.
    _sent: list[tuple[int, str, DemandReport]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        for region in REGIONS:
            self.start(region)

    def start(self, region: str) -> None:
        """Start the daemon of a region, which knows nothing of before."""
        state = PlacementState(
            Place(f'{region}1', region), ZONES, policies=self.policies
        )
        confirm_list(state, 10**18)
        work = self.work_ms * MILLISECOND_NS
        state.typical_work_times['desk'] = TypicalWork(work, work * 3.3)
        for home, servers in self.servers.items():
            for number in range(servers):
                zone = f'{home}{1 + number % 2}'
                put_server(state, listed(f'{home}{number}', zone), self.now)
        state.demand.is_exchanged = True
        state.demand.entry_regions = frozenset(REGIONS)
        self.states[region] = state

    def demand(self, region: str) -> float:
        """Return the requests a second of the callers of a region now."""
        phase = REGIONS.index(region) / len(REGIONS)
        turns = self.seconds / PERIOD_S + phase
        return self.rates[region] * (1 + 0.5 * sin(2 * pi * turns))

    def run(self, seconds: float) -> None:
        """Let some time pass."""
        end = self.seconds + seconds
        while self.seconds < end:
            self.step()

    @property
    def seconds(self) -> float:
        """Return the time since the start."""
        return (self.now - _START_NS) / SECOND_NS

    def step(self) -> None:
        """Let a quarter of a second pass."""
        self.now += STEP_NS
        self.tick += 1
        for region, state in self.states.items():
            # The variance of a Poisson distribution is its mean.
            mean = self.demand(region) * STEP_NS / SECOND_NS
            count = round(self.random.gauss(mean, mean**0.5))
            for _ in range(max(0, count)):
                count_request(state.demand, 'desk')
            if count > 0:
                state.has_placed_requests = True
            if self.tick % _REPORT_TICKS == 0:
                self._report(region)
        for report in [sent for sent in self._sent if sent[0] <= self.tick]:
            self._sent.remove(report)
            self._receive(*report[1:])
        for state in self.states.values():
            adjust_spills(state, STEP, self.now)

    def loads(self) -> dict[str, float]:
        """Return the requests a second per slot by region, mean of all 1."""
        requests = dict.fromkeys(REGIONS, 0.0)
        for region, state in self.states.items():
            for home, share in place_regions(state).items():
                requests[home] += share * self.demand(region)
        mean = sum(requests.values()) / sum(self.servers.values())
        return {
            region: requests[region] / servers / mean
            for region, servers in self.servers.items()
            if servers
        }

    def spill(self, region: str) -> SpillState:
        """Return the spill state of a region."""
        return self.states[region].spills['desk']

    def _report(self, region: str) -> None:
        demand = self.states[region].demand
        measure(demand, self.now)
        expire_reports(demand, self.now)
        report = make_report(demand, region, f'{region}1', self.tick)
        record_report(demand, report, region, self.now)
        for other in REGIONS:
            is_lost = region in self.silent or self.is_lost(region, other)
            if other != region and not is_lost:
                arrival = self.tick + self.delay_ticks()
                self._sent.append((arrival, other, report))

    def _receive(self, receiver: str, report: DemandReport) -> None:
        demand = self.states[receiver].demand
        record_report(demand, report, ZONES[report.zone], self.now)
