"""Tests of shared readings while a seventh of the servers is slow."""

from random import Random

from attrs import define, field
from tests.core.placement.harness import (
    NOW,
    WORK,
    make_state,
    server,
)

from geraniumshelf_core.placement.cold_starts import record_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    put_server,
    record_report,
)
from geraniumshelf_core.placement.queries import choose_server
from geraniumshelf_core.placement.readings import (
    Reading,
    learn_readings,
    make_readings,
)
from geraniumshelf_core.placement.speeds import (
    record_speed,
    usual_work,
)
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_TRAVEL_NS = 5 * MILLISECOND_NS
# Four daemons of a region, each with a response from a server about every 2 s.
_DAEMONS = 4
_SERVERS = 28
_SLOTS = 4
_STEP_NS = 10 * MILLISECOND_NS
_MEAN_INTERVAL_S = 2
_SLOW_FRACTION = 7
_SLOW_SPEED = 2.5
_PHASE_NS = 600 * MILLISECOND_NS
_ROUND_NS = 100 * MILLISECOND_NS
_SIMULATED_NS = 60 * SECOND_NS


@define(eq=False)
class _Daemon:
    """One daemon and the readings that it has not sent yet."""

    state: PlacementState
    fresh: dict[str, Reading] = field(factory=dict)


@define(eq=False)
class _Load:
    """Daemons that choose among servers of which a seventh is slow.

    All servers are warm, so that the choice depends on speed and load only.

    Attributes:
        shares: Whether daemons exchange readings.
        uses_speeds: Whether they record the speeds in responses.
        errors: Differences of expected and actual latency, parts of the latter.
        latencies: Actual latencies.
    """

    shares: bool
    uses_speeds: bool
    errors: list[float] = field(factory=list)
    latencies: list[int] = field(factory=list)
    _now: int = NOW
    _random: Random = field(factory=lambda: Random(7))
    _daemons: list[_Daemon] = field(factory=list)
    # Ends of the requests of a server, and what to do at an end.
    _ends: list[tuple[int, _Daemon, ServerView, Candidate, int]] = field(
        factory=list
    )
    _slow: set[str] = field(factory=set)

    def run(self) -> None:
        """Run for the simulated time."""
        for _ in range(_DAEMONS):
            state = make_state({})
            for number in range(_SERVERS):
                put_server(state, server(f's{number}', 'a1', _SLOTS), NOW)
            state.typical_work_times['desk'] = TypicalWork(WORK, WORK)
            self._daemons.append(_Daemon(state))
        names = [f's{number}' for number in range(_SERVERS)]
        rate = _SERVERS / _MEAN_INTERVAL_S * _STEP_NS / SECOND_NS
        while self._now < NOW + _SIMULATED_NS:
            if (self._now - NOW) % _PHASE_NS == 0:
                count = _SERVERS // _SLOW_FRACTION
                self._slow = set(self._random.sample(names, count))
            self._end_requests()
            if self.shares and (self._now - NOW) % _ROUND_NS == 0:
                self._exchange()
            for daemon in self._daemons:
                if self._random.random() < rate:
                    self._begin_request(daemon)
            self._now += _STEP_NS

    @property
    def mean_error(self) -> float:
        """Return the mean difference of expected and actual latency."""
        return sum(self.errors) / len(self.errors)

    @property
    def mean_latency(self) -> float:
        """Return the mean actual latency, as a multiple of the usual work."""
        return sum(self.latencies) / len(self.latencies) / WORK

    def _begin_request(self, daemon: _Daemon) -> None:
        request = PlacementRequest('desk', str(self._random.randrange(500)))
        candidate = choose_server(daemon.state, request, self._now)
        assert candidate is not None
        view = candidate.view
        name = view.server.name
        work = round(WORK * (_SLOW_SPEED if name in self._slow else 1))
        ends = sorted(
            end
            for end, _, other, _, _ in self._ends
            if other.server.name == name
        )
        wait = 0
        if len(ends) >= _SLOTS:
            wait = ends[-_SLOTS] - self._now
        latency = wait + work
        begin_request(daemon.state, view)
        record_send(view, self._now)
        self._ends.append((self._now + latency, daemon, view, candidate, work))
        self.latencies.append(latency)
        self.errors.append(abs(candidate.expected_latency - latency) / latency)

    def _end_requests(self) -> None:
        ended = [item for item in self._ends if item[0] <= self._now]
        self._ends = [item for item in self._ends if item[0] > self._now]
        for _, daemon, view, candidate, work in ended:
            name = view.server.name
            running = sum(item[2].server.name == name for item in self._ends)
            speed = _SLOW_SPEED if name in self._slow else 1
            if self.uses_speeds:
                record_speed(daemon.state, view, speed, self._now)
            usual = usual_work(candidate, work, self._now)
            end_request(daemon.state, view, Outcome(work=usual), self._now)
            record_report(view, running, 0, self._now)
            daemon.fresh.pop(name, None)
            daemon.fresh[name] = Reading(name, running, 0, speed, self._now)

    def _exchange(self) -> None:
        for daemon in self._daemons:
            message = make_readings(
                'n', reversed(daemon.fresh.values()), self._now - _TRAVEL_NS
            )
            daemon.fresh.clear()
            for other in self._daemons:
                if message is not None and other is not daemon:
                    learn_readings(other.state, message, _TRAVEL_NS, self._now)


def test_shared_readings_find_the_faster_servers() -> None:
    """Guard against choices that rest on the daemon's own responses only.

    A seventh of the servers at a time is 2.5 times slower for 0.6 s, while each
    of four daemons gets a response from a server about every 2 s.
    """
    former = _Load(shares=False, uses_speeds=False)
    own = _Load(shares=False, uses_speeds=True)
    shared = _Load(shares=True, uses_speeds=True)
    for load in (former, own, shared):
        load.run()
    assert shared.mean_error < 0.9 * own.mean_error < 0.7 * former.mean_error
    # The fastest possible choice has a latency of 1.
    assert shared.mean_latency - 1 < 0.9 * (own.mean_latency - 1)
    assert own.mean_latency < former.mean_latency
