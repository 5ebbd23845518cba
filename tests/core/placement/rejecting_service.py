"""Runs the decisions of daemons against servers that reject at random."""

from collections import Counter, deque
from heapq import heappop, heappush
from random import Random

from attrs import define, evolve, field, frozen
from tests.core.placement.harness import NOW, WORK, make_state

from geraniumshelf_core.admission.verdict import Admitted, decide_admission
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    record_report,
    set_initial_work,
)
from geraniumshelf_core.placement.queries import choose_server, is_crowded
from geraniumshelf_core.placement.rejections import (
    is_partial_rejection,
    rejection_delay,
)
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementRequest,
    PlacementState,
)
from geraniumshelf_core.policies import Policies
from geraniumshelf_core.shares.retries import (
    RetryShares,
    earn_retries,
    spend_retry,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS

_SLOTS = 3
_QUEUE = 9
_OBJECTS_PER_SERVER = 7
# Objects that are warm on a server, and how much longer others take.
_WARM_OBJECTS = 16
_COLD_FACTOR = 3
_TARGET = 600 * MILLISECOND_NS
_TIMEOUT = 1500 * MILLISECOND_NS
_MAX_ATTEMPTS = 2
# Retry delay of requests that only full servers rejected.
_LONG_DELAY = 450 * MILLISECOND_NS


@frozen
class Caller:
    """An attempt of a caller.

    Attributes:
        arrived_at: Time of the caller's first attempt.
        name: Object that it concerns.
        may_retry: Whether the caller retries if it is refused.
    """

    arrived_at: int
    name: str
    may_retry: bool = True


@define(eq=False)
class Daemon:
    """A daemon with its view of the servers and its retry budget."""

    state: PlacementState
    retries: RetryShares = field(factory=lambda: RetryShares(0.2, 0, 10))


@frozen
class Run:
    """A request that a server accepted from a daemon at a time."""

    daemon: Daemon
    caller: Caller
    choice: Candidate
    sent_at: int


@define
class Server:
    """A server with slots, a queue and warm objects."""

    running: int = 0
    queue: deque[Run] = field(factory=deque)
    warm: dict[str, None] = field(factory=dict)


@define
class RejectingService:
    """Daemons with a service whose servers reject for some time.

    Attributes:
        policies: Policies of the daemons.
        daemons: Number of daemons; each gets an equal part of the requests.
        servers: Number of servers.
        rejecting: Begin and end of the time in which servers reject,
            nanoseconds from the start.
        rejecting_names: Servers that reject then, empty for all.
        reject_rate: Fraction of the requests that these servers reject.
        rate: Requests a second.
        arrived: Requests by second of their first attempt.
        served: Requests that were served within the target latency, by second
            of their first attempt.
        sent: Attempts by server in the time in which servers reject.
        unsent: Number of attempts of callers in that time that reached no
            server.
        ejections: Name of the server for each ejection.
        full_rejections: Number of rejections that counted as full.
        delays: Delays after which refused callers were told to retry.
    """

    policies: Policies = field(factory=Policies)
    daemons: int = 1
    servers: int = 12
    rejecting: tuple[int, int] = (0, 0)
    rejecting_names: frozenset[str] = frozenset()
    reject_rate: float = 0.5
    rate: int = 150
    arrived: Counter[int] = field(factory=Counter)
    served: Counter[int] = field(factory=Counter)
    sent: Counter[str] = field(factory=Counter)
    unsent: int = 0
    ejections: list[str] = field(factory=list)
    full_rejections: int = 0
    delays: list[int] = field(factory=list)
    _random: Random = field(factory=lambda: Random(7))
    _daemons: list[Daemon] = field(init=False, factory=list)
    _servers: dict[str, Server] = field(init=False, factory=dict)
    _events: list[tuple[int, int, Caller | Run]] = field(factory=list)
    _event_count: int = 0

    def __attrs_post_init__(self) -> None:
        """Create idle servers and the daemons."""
        names = [f's{number}' for number in range(self.servers)]
        self._servers = {name: Server() for name in names}
        for _ in range(self.daemons):
            state = make_state(dict.fromkeys(names, 'a1'), _SLOTS)
            state.policies = self.policies
            set_initial_work(state, 'desk', WORK * 5 // 2)
            self._daemons.append(Daemon(state))

    def run(self, seconds: int) -> None:
        """Serve requests for a time, and those that are still in flight."""
        for number in range(seconds * self.rate):
            at = NOW + number * SECOND_NS // self.rate
            count = _OBJECTS_PER_SERVER * self.servers
            name = f'object {self._random.randrange(count)}'
            self.arrived[_second(at)] += 1
            self._schedule(at, Caller(at, name))
        while self._events:
            now, _, event = heappop(self._events)
            if isinstance(event, Caller):
                self._serve(event, now)
            else:
                self._complete(event, now)

    def share(self, second: int) -> float:
        """Return the share of the requests of a second that was served."""
        return self.served[second] / self.arrived[second]

    def _serve(self, caller: Caller, now: int) -> None:
        daemon = self._random.choice(self._daemons)
        earn_retries(daemon.retries, 'desk', now)
        excluded: frozenset[str] = frozenset()
        was_partial = False
        while len(excluded) < _MAX_ATTEMPTS:
            choice = self._choose(daemon, caller, excluded, now)
            if choice is None:
                self.unsent += not excluded and self._is_rejecting(now)
                break
            if excluded and not spend_retry(daemon.retries, 'desk', now):
                break
            if self._send(Run(daemon, caller, choice, now)):
                return
            was_partial |= choice.view.full_until <= now
            excluded |= {choice.view.server.name}
        jitter = self._random.random()
        delay = rejection_delay(jitter) if was_partial else _LONG_DELAY
        self.delays.append(delay)
        if caller.may_retry:
            self._schedule(now + delay, evolve(caller, may_retry=False))

    def _choose(
        self,
        daemon: Daemon,
        caller: Caller,
        excluded: frozenset[str],
        now: int,
    ) -> Candidate | None:
        request = PlacementRequest('desk', caller.name, excluded=excluded)
        choice = choose_server(daemon.state, request, now)
        verdict = decide_admission(
            choice,
            caller.arrived_at + _TARGET - now,
            caller.arrived_at + _TIMEOUT - now,
            self._random.random(),
            policies=self.policies,
            is_crowded=is_crowded(daemon.state, 'desk', 'a', now),
        )
        return choice if isinstance(verdict, Admitted) else None

    def _send(self, run: Run) -> bool:
        now, view = run.sent_at, run.choice.view
        name = view.server.name
        server = self._servers[name]
        begin_request(run.daemon.state, view)
        self.sent[name] += self._is_rejecting(now)
        if len(server.queue) < _QUEUE and not self._rejects(name, now):
            server.queue.append(run)
            self._start_queued(server, now)
            return True
        is_partial = is_partial_rejection(
            run.daemon.state, view, server.running, len(server.queue), now
        )
        self.full_rejections += not is_partial
        outcome = Outcome(is_partial=is_partial, is_shed=not is_partial)
        self._end(run, outcome, now)
        return False

    def _rejects(self, name: str, now: int) -> bool:
        is_affected = not self.rejecting_names or name in self.rejecting_names
        if not is_affected or not self._is_rejecting(now):
            return False
        return self._random.random() < self.reject_rate

    def _is_rejecting(self, now: int) -> bool:
        begin, end = self.rejecting
        return begin <= now - NOW < end

    def _start_queued(self, server: Server, now: int) -> None:
        while server.queue and server.running < _SLOTS:
            run = server.queue.popleft()
            name = run.caller.name
            work = WORK if name in server.warm else _COLD_FACTOR * WORK
            server.running += 1
            server.warm.pop(name, None)
            server.warm[name] = None
            if len(server.warm) > _WARM_OBJECTS:
                del server.warm[next(iter(server.warm))]
            self._schedule(now + work, run)

    def _complete(self, run: Run, now: int) -> None:
        server = self._servers[run.choice.view.server.name]
        server.running -= 1
        self._start_queued(server, now)
        work = now - run.sent_at
        outcome = Outcome(work=work, object_name=run.caller.name)
        self._end(run, outcome, now)
        arrived_at = run.caller.arrived_at
        if now <= arrived_at + _TARGET:
            self.served[_second(arrived_at)] += 1

    def _end(self, run: Run, outcome: Outcome, now: int) -> None:
        view = run.choice.view
        if end_request(run.daemon.state, view, outcome, now):
            self.ejections.append(view.server.name)
        server = self._servers[view.server.name]
        record_report(view, server.running, len(server.queue), now)

    def _schedule(self, at: int, event: Caller | Run) -> None:
        self._event_count += 1
        heappush(self._events, (at, self._event_count, event))


def _second(at: int) -> int:
    return (at - NOW) // SECOND_NS
