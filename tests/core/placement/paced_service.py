"""Runs the decisions of daemons while servers of a service start or recover."""

from collections import Counter, deque
from heapq import heappop, heappush
from random import Random

from attrs import define, evolve, field, frozen
from tests.core.placement.harness import NOW, WORK, make_state, server

from geraniumshelf_core.admission.verdict import Admitted, decide_admission
from geraniumshelf_core.placement.cold_starts import record_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
    record_report,
    set_evacuated,
    set_initial_work,
)
from geraniumshelf_core.placement.queries import choose_server, is_crowded
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
)
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_SLOTS = 3
_QUEUE = 9
_OBJECTS_PER_SERVER = 7
# Objects that are warm on a server, and how much longer others take.
_WARM_OBJECTS = 16
_COLD_FACTOR = 3
_TARGET = 700 * MILLISECOND_NS
_TIMEOUT = 1500 * MILLISECOND_NS
COLD_TIME = SECOND_NS
# Limit of requests a second to a cold server, of all daemons together.
_COLD_LIMIT = 15.5


@frozen
class Run:
    """A request that a daemon sent to a server at a time."""

    state: PlacementState
    choice: Candidate
    name: str
    sent_at: int
    arrived_at: int


@define
class Server:
    """A server with slots, a queue and warm objects."""

    running: int = 0
    queue: deque[Run] = field(factory=deque)
    warm: dict[str, None] = field(factory=dict)


@define
class PacedService:
    """Daemons of a region with a service, in virtual time.

    Attributes:
        policies: Policies of the daemons.
        rate: Requests a second.
        daemons: Number of daemons.
        servers: Number of servers, half of them in each of two zones.
        sent: Requests by server and second.
        queues: Longest queue by server and second.
        rejections: Rejections by full servers, by server and second.
        arrived: Requests by second.
        served: Requests that were served in time, by second.
    """

    policies: Policies = field(factory=Policies)
    rate: int = 200
    daemons: int = 4
    servers: int = 12
    sent: Counter[tuple[str, int]] = field(factory=Counter)
    queues: Counter[tuple[str, int]] = field(factory=Counter)
    rejections: Counter[tuple[str, int]] = field(factory=Counter)
    arrived: Counter[int] = field(factory=Counter)
    served: Counter[int] = field(factory=Counter)
    states: list[PlacementState] = field(init=False, factory=list)
    _random: Random = field(factory=lambda: Random(7))
    _servers: dict[str, Server] = field(init=False, factory=dict)
    _completions: list[tuple[int, int, Run]] = field(factory=list)
    _arrivals: int = 0
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create idle servers and the daemons."""
        zones = {
            f's{number}': 'a1' if number % 2 else 'a2'
            for number in range(self.servers)
        }
        self._servers = {name: Server() for name in zones}
        for _ in range(self.daemons):
            state = make_state(zones, _SLOTS)
            state.policies = self.policies
            state.cold_rate_per_share['desk'] = _COLD_LIMIT / self.daemons
            state.region_entries = self.daemons
            set_initial_work(state, 'desk', WORK * 5 // 2)
            self.states.append(state)

    @property
    def now(self) -> int:
        """Return the time of the next request."""
        return NOW + self._arrivals * SECOND_NS // self.rate

    def run(self, seconds: float) -> None:
        """Let requests arrive for a time."""
        for _ in range(round(seconds * self.rate)):
            now = self.now
            while self._completions and self._completions[0][0] <= now:
                self._complete(*heappop(self._completions))
            self._serve(now)
            self._arrivals += 1

    def join(self, name: str) -> None:
        """Let a server start."""
        self._servers[name] = Server()
        listed = evolve(server(name, 'a1', _SLOTS), started_at_ms=1)
        for state in self.states:
            put_server(state, listed, self.now, cold_time=COLD_TIME)

    def evacuate(self, zones: frozenset[str]) -> None:
        """Replace the evacuated zones; their servers forget all objects."""
        for state in self.states:
            set_evacuated(state, zones, self.now, COLD_TIME)
            for name, view in state.servers.items():
                if view.server.zone in zones:
                    view.warm_objects.clear()
                    self._servers[name].warm.clear()

    def fail(self, name: str) -> None:
        """Let each daemon eject a server."""
        for state in self.states:
            view = state.servers[name]
            for _ in range(3):
                begin_request(state, view)
                end_request(state, view, Outcome(is_failure=True), self.now)

    def relative_share(self, name: str, second: int) -> float:
        """Return the requests to a server as a fraction of the mean."""
        total = sum(
            count for (_, at), count in self.sent.items() if at == second
        )
        return self.sent[name, second] * len(self._servers) / total

    def served_share(self, second: int) -> float:
        """Return the share of the requests of a second that was in time."""
        return self.served[second] / self.arrived[second]

    def _serve(self, now: int) -> None:
        state = self._random.choice(self.states)
        count = _OBJECTS_PER_SERVER * self.servers
        name = f'object {self._random.randrange(count)}'
        self.arrived[_second(now)] += 1
        choice = choose_server(state, PlacementRequest('desk', name), now)
        verdict = decide_admission(
            choice,
            _TARGET,
            _TIMEOUT,
            self._random.random(),
            policies=self.policies,
            is_crowded=is_crowded(state, 'desk', 'a', now),
        )
        if choice is not None and isinstance(verdict, Admitted):
            self._send(Run(state, choice, name, now, now))

    def _send(self, run: Run) -> None:
        now, view = run.sent_at, run.choice.view
        key = view.server.name, _second(now)
        target = self._servers[view.server.name]
        begin_request(run.state, view)
        record_send(view, now)
        self.sent[key] += 1
        if len(target.queue) >= _QUEUE:
            self.rejections[key] += 1
            end_request(run.state, view, Outcome(is_shed=True), now)
            record_report(view, target.running, len(target.queue), now)
            return
        target.queue.append(run)
        self._start_queued(target, now)
        self.queues[key] = max(self.queues[key], len(target.queue))

    def _start_queued(self, target: Server, now: int) -> None:
        while target.queue and target.running < _SLOTS:
            run = target.queue.popleft()
            factor = 1 if run.name in target.warm else _COLD_FACTOR
            work = round(factor * WORK * self._random.uniform(0.8, 1.2))
            target.running += 1
            target.warm.pop(run.name, None)
            target.warm[run.name] = None
            if len(target.warm) > _WARM_OBJECTS:
                del target.warm[next(iter(target.warm))]
            self._count += 1
            heappush(self._completions, (now + work, self._count, run))

    def _complete(self, now: int, _: int, run: Run) -> None:
        view = run.choice.view
        target = self._servers[view.server.name]
        target.running -= 1
        self._start_queued(target, now)
        outcome = Outcome(work=now - run.sent_at, object_name=run.name)
        end_request(run.state, view, outcome, now)
        record_report(view, target.running, len(target.queue), now)
        if now <= run.arrived_at + _TARGET:
            self.served[_second(run.arrived_at)] += 1


def _second(at: int) -> int:
    return (at - NOW) // SECOND_NS
