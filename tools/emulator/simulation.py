"""Plays an experiment in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Final

from geraniumshelf_core.admission.verdict import Admitted, Rejected
from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.units import Nanoseconds, seconds_to_ns
from tools.emulator.callers import Arrivals, Request, comes_back
from tools.emulator.daemons import SPILL_INTERVAL_S, Daemon, make_state
from tools.emulator.events import strike
from tools.emulator.experiment import Experiment
from tools.emulator.servers import Done, Job, Server
from tools.emulator.tally import FAILED, LATE, LEFT, ON_TIME, REFUSED, Tally

# Times of a daemon begin here, as those of a boot clock do.
_EPOCH_S: Final = 1000
# Time from a caller to the daemon and back.
_CALLER_WAY_S: Final = 0.016
# Servers that a request is sent to at most.
_MOST_ATTEMPTS: Final = 2
# Requests under way at the end have this time to end.
_ENDING_S: Final = 5


class Simulation:
    """One play of an experiment.

    Attributes:
        now: Virtual time, seconds from the start of traffic.
        experiment: What is played.
        random: Draws everything that is left to chance.
        servers: All servers by name.
        daemons: All daemons.
        tally: What callers got.
        boost: Factor on the demand of each zone.
    """

    def __init__(self, experiment: Experiment, seed: int) -> None:
        self.now = float(0)
        self.experiment = experiment
        self.random = Random(seed)
        self.tally = Tally()
        self.boost = [1.0] * experiment.zone_count
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.servers = self._make_servers()
        self.daemons = [
            Daemon(zone, make_state(experiment, zone))
            for zone in range(experiment.zone_count)
            for _ in range(experiment.daemons)
        ]
        self.arrivals = Arrivals(experiment, self.random)

    def run(self) -> dict[str, Any]:
        """Play to the end and return the results."""
        for server in self.servers.values():
            for daemon in self.daemons:
                daemon.list_server(server, self.ns(), is_new=False)
        for event in self.experiment.events:
            self.schedule(event.at, lambda event=event: strike(self, event))
        for zone in range(self.experiment.zone_count):
            self._next_arrival(zone)
        self._adjust()
        end = self.experiment.seconds + _ENDING_S
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action = heappop(self._heap)
            action()
        seconds = self.experiment.seconds
        return self.tally.render(
            {
                server.name: server.busy_s / seconds / server.service.slots
                for server in self.servers.values()
            }
        )

    def schedule(self, after_s: float, action: Callable[[], None]) -> None:
        """Call a function after a time."""
        heappush(self._heap, (self.now + after_s, next(self._numbers), action))

    def ns(self) -> Nanoseconds:
        """Return the time as daemons read it."""
        return seconds_to_ns(_EPOCH_S + self.now)

    def _make_servers(self) -> dict[str, Server]:
        servers: dict[str, Server] = {}
        for service in self.experiment.services:
            for zone, number in enumerate(service.servers):
                for place in range(number):
                    name = f'{service.name}-{zone}-{place}'
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

    def _adjust(self) -> None:
        for daemon in self.daemons:
            daemon.adjust(self.ns())
        if self.now < self.experiment.seconds:
            self.schedule(SPILL_INTERVAL_S, self._adjust)

    def _next_arrival(self, zone: int) -> None:
        wait, request = self.arrivals.draw(zone, self.now, self.boost[zone])
        if self.now + wait >= self.experiment.seconds:
            return

        def arrive() -> None:
            request.begun = self.now
            self._attempt(request)
            self._next_arrival(zone)

        self.schedule(wait, arrive)

    def _attempt(self, request: Request) -> None:
        daemons = [
            daemon
            for daemon in self.daemons
            if daemon.zone == request.zone and daemon.is_up
        ]
        if not daemons:
            self._give_back(request, 0.5, is_refused=False)
            return
        daemon = self.random.choice(daemons)
        self.schedule(
            _CALLER_WAY_S / 2,
            lambda: self._place(request, daemon, frozenset()),
        )

    def _place(
        self, request: Request, daemon: Daemon, excluded: frozenset[str]
    ) -> None:
        kind = request.kind
        age = self.now - request.attempted
        verdict = daemon.place(
            kind,
            request.name,
            excluded,
            seconds_to_ns(kind.target_ms / 1000 - age),
            seconds_to_ns(request.deadline - self.now),
            self.ns(),
            self.random,
        )
        match verdict:
            case Rejected(retry_after):
                self.tally.counts['rejected'] += 1
                wait_s = retry_after / 1e9
                self.schedule(
                    _CALLER_WAY_S / 2,
                    lambda: self._give_back(request, wait_s, is_refused=True),
                )
            case Admitted(choice):
                self._send(request, daemon, choice, excluded)

    def _send(
        self,
        request: Request,
        daemon: Daemon,
        choice: Candidate,
        excluded: frozenset[str],
    ) -> None:
        daemon.begin(choice, self.ns())
        sent = self.now
        name = choice.view.server.name
        server = self.servers[name]
        way = self._way(daemon.zone, server.zone)

        def finish(done: Done) -> None:
            if done.is_run:
                self.tally.count_run(
                    self.now,
                    is_warm=done.is_warm,
                    is_wanted=self.now < request.deadline
                    and not request.has_ended,
                )
            self.schedule(way, lambda: answered(done))

        def answered(done: Done | None) -> None:
            work = seconds_to_ns(self.now - sent)
            daemon.end(
                choice, request.kind, request.name, done, work, self.ns()
            )
            if request.has_ended:
                return
            if done is not None and done.is_run and not done.is_failed:
                self._succeed(request)
                return
            is_safe = done is None or not done.is_run
            if request.kind.is_idempotent or is_safe:
                tried = excluded | {name}
                if len(tried) < _MOST_ATTEMPTS:
                    self.tally.counts['repeated'] += 1
                    self._place(request, daemon, tried)
                    return
            self._give_back(request, 0.3, is_refused=is_safe)

        def reach() -> None:
            job = Job(request.kind, request.name, request.deadline, finish)
            if not server.take(job):
                self.schedule(way, lambda: answered(None))

        self.schedule(way, reach)

    def _way(self, zone: int, other: int) -> float:
        experiment = self.experiment
        if experiment.region_of(zone) != experiment.region_of(other):
            return experiment.region_ms / 1000
        return experiment.zone_ms / 1000 if zone != other else 0.0001

    def _succeed(self, request: Request) -> None:
        took = self.now - request.begun + _CALLER_WAY_S / 2
        self.tally.times.append(took * 1000)
        if self.now > request.deadline:
            self._end(request, FAILED, 0)
        elif took <= request.kind.target_ms / 1000:
            self._end(request, ON_TIME, request.kind.worth)
        else:
            self._end(request, LATE, request.kind.late_worth)

    def _give_back(
        self, request: Request, wait_s: float, *, is_refused: bool
    ) -> None:
        """Let the caller come back, or end its request."""
        wait = comes_back(request, wait_s, self.now, self.random)
        if wait is None:
            self._end(request, REFUSED if is_refused else FAILED, 0)
            return
        request.retries += 1
        self.tally.counts['came_back'] += 1

        def again() -> None:
            request.attempted = self.now
            self._attempt(request)

        self.schedule(wait, again)

    def _end(self, request: Request, outcome: str, earned: float) -> None:
        request.has_ended = True
        if request.leaves_at is not None and self.now > request.leaves_at:
            outcome, earned = LEFT, 0
        groups = {'kind': request.kind.name, 'zone': str(request.zone)}
        self.tally.count_request(
            request.begun, groups, outcome, request.kind.worth, earned
        )
