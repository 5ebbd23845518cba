"""Simulation of an experiment in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Final

from geraniumshelf_core.admission.verdict import Admitted, Rejected
from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.units import Nanoseconds, seconds_to_ns
from tools.emulator.callers import Arrivals, Request, choose_retry_delay
from tools.emulator.daemons import (
    SPILL_INTERVAL_S,
    Daemon,
    make_placement_state,
)
from tools.emulator.demand import exchange_demand
from tools.emulator.events import apply_event
from tools.emulator.experiment import Experiment
from tools.emulator.limit_statistics import LimitEvent, summarize_limits
from tools.emulator.outcome_statistics import (
    FAILED,
    LATE,
    LEFT,
    ON_TIME,
    REFUSED,
    OutcomeStatistics,
)
from tools.emulator.peers import make_peers
from tools.emulator.servers import Job, RunResult, Server

# Daemons read this time at the start, because a boot clock does not start at 0.
_CLOCK_START_S: Final = 1000
# Round trip between a caller and its daemon.
_CALLER_ROUND_TRIP_S: Final = 0.016
# A daemon sends a request to this many servers at most.
_MAX_ATTEMPTS: Final = 2
# A daemon that waits for permits goes on this long after the round trip.
_REPLY_MARGIN_S: Final = 0.001
# Shortest interval in which a daemon repeats what it knows of limits.
LIMIT_INTERVAL_S: Final = 0.15
# Interval in which daemons report their demand.
_DEMAND_INTERVAL_S: Final = 0.5
# Requests in flight at the end of the traffic have this time to complete.
_COMPLETION_S: Final = 5


class Simulation:
    """Simulation of an experiment with one seed.

    Attributes:
        now: Virtual time, seconds from the start of traffic.
        experiment: Experiment that is simulated.
        random: The only source of random numbers.
        servers: All backend servers, by name.
        daemons: All daemons.
        statistics: Outcomes of the requests.
        demand_factors: Factor on the demand of each zone.
        limit_events: Servers that have named a limit.
    """

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.now = float(0)
        self.experiment = experiment
        self.random = Random(seed)
        # Requests are the same whether or not daemons exchange limits.
        self._jitter_random = Random(seed)
        self.statistics = OutcomeStatistics()
        self.demand_factors = [1.0] * experiment.zone_count
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self.servers = self._make_servers()
        self.daemons = [
            Daemon(zone, make_placement_state(experiment, zone))
            for zone in range(experiment.zone_count)
            for _ in range(experiment.daemons)
        ]
        self.limit_events: list[LimitEvent] = []
        for daemon, peer in zip(self.daemons, make_peers(self), strict=True):
            daemon.peer = peer
        self.arrivals = Arrivals(experiment, self.random)

    def run(self) -> dict[str, Any]:
        """Run the simulation to its end and return the results."""
        for server in self.servers.values():
            for daemon in self.daemons:
                daemon.list_server(server, self.now_ns(), is_new=False)
        for event in self.experiment.events:
            self.schedule(
                event.at, lambda event=event: apply_event(self, event)
            )
        for zone in range(self.experiment.zone_count):
            self._schedule_arrival(zone)
        self._adjust_spills()
        self._exchange_demand()
        for daemon in self.daemons:
            self._step_limits(daemon)
        end_time = self.experiment.seconds + _COMPLETION_S
        while self._event_queue and self._event_queue[0][0] <= end_time:
            self.now, _, action = heappop(self._event_queue)
            action()
        seconds = self.experiment.seconds
        summary = self.statistics.summarize(
            {
                server.name: server.busy_slot_s / seconds / server.service.slots
                for server in self.servers.values()
            }
        )
        summary['limits'] = summarize_limits(self.limit_events)
        return summary

    def schedule(self, after_s: float, action: Callable[[], None]) -> None:
        """Call a function after a number of seconds."""
        heappush(
            self._event_queue,
            (self.now + after_s, next(self._sequence), action),
        )

    def now_ns(self) -> Nanoseconds:
        """Return the current time as a daemon reads it."""
        return seconds_to_ns(_CLOCK_START_S + self.now)

    def _make_servers(self) -> dict[str, Server]:
        servers: dict[str, Server] = {}
        for service in self.experiment.services:
            for zone, number in enumerate(service.servers):
                for index in range(number):
                    name = f'{service.name}-{zone}-{index}'
                    speed = service.speeds[len(servers) % len(service.speeds)]
                    servers[name] = Server(
                        name,
                        zone,
                        service,
                        speed,
                        self.random,
                        self.schedule,
                        lambda: self.now,
                    )
        return servers

    def _adjust_spills(self) -> None:
        for daemon in self.daemons:
            daemon.step_spills(self.now_ns())
        if self.now < self.experiment.seconds:
            self.schedule(SPILL_INTERVAL_S, self._adjust_spills)

    def _exchange_demand(self) -> None:
        exchange_demand(self.daemons, self.now_ns())
        if self.now < self.experiment.seconds:
            self.schedule(_DEMAND_INTERVAL_S, self._exchange_demand)

    def _step_limits(self, daemon: Daemon) -> None:
        assert daemon.peer is not None
        daemon.peer.limits.step(self.now_ns())
        if self.now < self.experiment.seconds:
            self.schedule(
                LIMIT_INTERVAL_S * (1 + self._jitter_random.random()),
                lambda: self._step_limits(daemon),
            )

    def _schedule_arrival(self, zone: int) -> None:
        wait, request = self.arrivals.draw(
            zone, self.now, self.demand_factors[zone]
        )
        if self.now + wait >= self.experiment.seconds:
            return

        def arrive() -> None:
            request.started_at = self.now
            self._attempt(request)
            self._schedule_arrival(zone)

        self.schedule(wait, arrive)

    def _attempt(self, request: Request) -> None:
        daemons = [
            daemon
            for daemon in self.daemons
            if daemon.zone == request.zone and daemon.is_up
        ]
        if not daemons:
            self._retry_or_finish(request, 0.5, is_refused=False)
            return
        daemon = self.random.choice(daemons)
        self.schedule(
            _CALLER_ROUND_TRIP_S / 2,
            lambda: self._place(request, daemon, frozenset()),
        )

    def _place(
        self, request: Request, daemon: Daemon, excluded: frozenset[str]
    ) -> None:
        """Dispatch a request, after a wait for a permit if it needs one."""
        wait_s = 0.0
        if daemon.request_permit(
            request.kind, request.name, excluded, self.now_ns()
        ):
            wait_s = 2 * self.experiment.zone_ms / 1000 + _REPLY_MARGIN_S
        if not wait_s:
            self._dispatch(request, daemon, excluded)
            return
        self.schedule(wait_s, lambda: self._dispatch(request, daemon, excluded))

    def _dispatch(
        self, request: Request, daemon: Daemon, excluded: frozenset[str]
    ) -> None:
        kind = request.kind
        age = self.now - request.last_attempt_at
        decision = daemon.admit(
            kind,
            request.name,
            excluded,
            seconds_to_ns(kind.target_ms / 1000 - age),
            seconds_to_ns(request.deadline - self.now),
            self.now_ns(),
            self.random,
        )
        match decision:
            case Rejected(retry_after):
                self.statistics.event_counts['rejected'] += 1
                wait_s = retry_after / 1e9
                self.schedule(
                    _CALLER_ROUND_TRIP_S / 2,
                    lambda: self._retry_or_finish(
                        request, wait_s, is_refused=True
                    ),
                )
            case Admitted(candidate):
                self._send(request, daemon, candidate, excluded)

    def _send(
        self,
        request: Request,
        daemon: Daemon,
        candidate: Candidate,
        excluded: frozenset[str],
    ) -> None:
        daemon.record_start(candidate, self.now_ns())
        sent_at = self.now
        name = candidate.view.server.name
        server = self.servers[name]
        delay_s = self.one_way_delay_s(daemon.zone, server.zone)

        def finish(result: RunResult) -> None:
            if result.is_executed:
                self.statistics.record_run(
                    self.now,
                    is_warm=result.is_warm,
                    is_awaited=self.now < request.deadline
                    and not request.is_finished,
                )
            self.schedule(delay_s, lambda: handle_answer(result))

        def handle_answer(result: RunResult | None) -> None:
            work = seconds_to_ns(self.now - sent_at)
            daemon.record_completion(
                candidate,
                request.kind,
                request.name,
                result,
                work,
                self.now_ns(),
            )
            if request.is_finished:
                return
            if (
                result is not None
                and result.is_executed
                and not result.is_failed
            ):
                self._record_success(request)
                return
            has_not_run = result is None or not result.is_executed
            if request.kind.is_idempotent or has_not_run:
                attempted_servers = excluded | {name}
                if len(attempted_servers) < _MAX_ATTEMPTS:
                    self.statistics.event_counts['repeated'] += 1
                    self._place(request, daemon, attempted_servers)
                    return
            self._retry_or_finish(request, 0.3, is_refused=has_not_run)

        def arrive_at_server() -> None:
            job = Job(request.kind, request.name, request.deadline, finish)
            if not server.accept(job):
                self.schedule(delay_s, lambda: handle_answer(None))

        self.schedule(delay_s, arrive_at_server)

    def one_way_delay_s(self, zone: int, other: int) -> float:
        """Return the network delay between two zones, seconds."""
        experiment = self.experiment
        if experiment.region_of(zone) != experiment.region_of(other):
            return experiment.region_ms / 1000
        return experiment.zone_ms / 1000 if zone != other else 0.0001

    def _record_success(self, request: Request) -> None:
        latency_s = self.now - request.started_at + _CALLER_ROUND_TRIP_S / 2
        self.statistics.latencies_ms.append(latency_s * 1000)
        if self.now > request.deadline:
            self._finish(request, FAILED, 0)
        elif latency_s <= request.kind.target_ms / 1000:
            self._finish(request, ON_TIME, request.kind.worth)
        else:
            self._finish(request, LATE, request.kind.late_worth)

    def _retry_or_finish(
        self, request: Request, wait_s: float, *, is_refused: bool
    ) -> None:
        """Schedule a retry by the caller, or end its request."""
        wait = choose_retry_delay(request, wait_s, self.now, self.random)
        if wait is None:
            self._finish(request, REFUSED if is_refused else FAILED, 0)
            return
        request.retries += 1
        self.statistics.event_counts['came_back'] += 1

        def retry() -> None:
            request.last_attempt_at = self.now
            self._attempt(request)

        self.schedule(wait, retry)

    def _finish(
        self, request: Request, outcome: str, earned_credit: float
    ) -> None:
        request.is_finished = True
        if request.abandons_at is not None and self.now > request.abandons_at:
            outcome, earned_credit = LEFT, 0
        groups = {'kind': request.kind.name, 'zone': str(request.zone)}
        self.statistics.record_request(
            request.started_at,
            groups,
            outcome,
            request.kind.worth,
            earned_credit,
        )
