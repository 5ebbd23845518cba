"""Simulated backend servers."""

from collections import OrderedDict, deque
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.placement.server_limits import (
    LimitStatement,
    NamedLimit,
    NoLimit,
)
from tools.emulator.experiment import Kind, Service

# A cold server crashes above this multiple of the rate that it sustains.
_CRASH_RATE_FACTOR: Final = 3
# Lower bound of a drawn work time, which can otherwise be 0 or negative.
_MIN_WORK_S: Final = 0.001


@frozen
class RunResult:
    """Answer of a server to a request.

    Attributes:
        is_executed: Whether the server worked on the request.
        is_failed: Whether the request failed.
        is_warm: Whether the object was warm.
        running_count: Requests that the server runs at this time.
        queued_count: Requests that the server queues at this time.
        pause_s: ``Retry-After`` of the server, seconds; 0 for none.
        limit: What the answer says about a limit of the server.
    """

    is_executed: bool
    is_failed: bool
    is_warm: bool
    running_count: int
    queued_count: int
    pause_s: float = 0
    limit: LimitStatement = field(factory=NoLimit)


FinishCallback = Callable[[RunResult], None]


@define(eq=False)
class Job:
    """A request at a server.

    Attributes:
        kind: Kind of the request.
        name: Name of the requested object.
        deadline: Time at which the caller gives up, seconds.
        finish: Called with the result at the end of the request.
    """

    kind: Kind
    name: str
    deadline: float
    finish: FinishCallback


@define(eq=False)
class Server:
    """One backend server.

    Attributes:
        name: Name of the server.
        zone: Index of its zone.
        service: Service to which it belongs.
        speed: Factor on the work time.
        random: Source of work times and failures.
        schedule: Calls a function after a number of seconds.
        clock: Returns the current time, seconds.
        is_up: Whether the server accepts connections.
        slow: Further factor on the work time, set by events.
        grey: Fraction of the requests that fail, set by events.
        start_count: Number of starts; work from before a restart is lost.
        cold_until: End of the cold start, seconds.
        busy_slot_s: Sum of the work of all slots, seconds.
        rate_limit: Limit that its answers name, requests per second; ``None``
            for none.
        arrivals: Times of the requests while it named a limit, seconds.
    """

    name: str
    zone: int
    service: Service
    speed: float
    random: Random
    schedule: Callable[[float, Callable[[], None]], None]
    clock: Callable[[], float]
    is_up: bool = True
    slow: float = 1
    grey: float = 0
    start_count: int = 1
    cold_until: float = 0
    busy_slot_s: float = 0
    rate_limit: float | None = None
    arrivals: list[float] = field(factory=list)
    running_count: int = 0
    _queue: deque[Job] = field(factory=deque)
    _warm_objects: OrderedDict[tuple[str, str], None] = field(
        factory=OrderedDict
    )
    _recent_arrivals: deque[float] = field(factory=deque)

    def accept(self, job: Job) -> bool:
        """Run, queue or shed a request.

        Returns:
            Whether the connection was accepted.
        """
        if not self.is_up:
            return False
        if self.rate_limit is not None:
            self.arrivals.append(self.clock())
        if self._should_crash():
            self.stop()
            return False
        if self.running_count < self.service.slots:
            self._run_job(job)
        elif len(self._queue) < self.service.queue:
            self._queue.append(job)
        else:
            job.finish(self._make_result(is_executed=False))
        return True

    def stop(self) -> None:
        """Stop the server; requests in flight are never answered."""
        self.is_up = False
        self.start_count += 1
        self.running_count = 0
        self._queue.clear()
        self._warm_objects.clear()

    def start(self) -> None:
        """Start the server cold."""
        self.is_up = True
        self.cold_until = self.clock() + self.service.cold_start_s

    def _should_crash(self) -> bool:
        now = self.clock()
        if now >= self.cold_until:
            return False
        self._recent_arrivals.append(now)
        while now - self._recent_arrivals[0] > 1:
            self._recent_arrivals.popleft()
        return (
            len(self._recent_arrivals)
            > _CRASH_RATE_FACTOR * self.service.cold_per_s
        )

    def _run_job(self, job: Job) -> None:
        self.running_count += 1
        key = (job.kind.name, job.name)
        is_warm = key in self._warm_objects
        self._warm_objects.pop(key, None)
        self._warm_objects[key] = None
        if len(self._warm_objects) > self.service.warm_objects:
            self._warm_objects.popitem(last=False)
        typical_ms = job.kind.warm_ms if is_warm else job.kind.cold_ms
        factor = self.random.gauss(1, job.kind.spread)
        work_s = typical_ms * factor * self.speed * self.slow / 1000
        work_s = max(work_s, _MIN_WORK_S)
        start_number = self.start_count
        self.busy_slot_s += work_s

        def end() -> None:
            if self.start_count == start_number:
                self._complete_job(job, is_warm)

        self.schedule(work_s, end)

    def _complete_job(self, job: Job, is_warm: bool) -> None:
        self.running_count -= 1
        is_failed = self.random.random() < self.grey
        now = self.clock()
        while self._queue and self.running_count < self.service.slots:
            next_job = self._queue.popleft()
            if next_job.deadline > now:
                self._run_job(next_job)
            else:
                next_job.finish(self._make_result(is_executed=False))
        job.finish(
            self._make_result(is_executed=True, failed=is_failed, warm=is_warm)
        )

    def _make_result(
        self, *, is_executed: bool, failed: bool = False, warm: bool = False
    ) -> RunResult:
        pause_s = 0 if is_executed else self.service.pause_s
        return RunResult(
            is_executed,
            failed,
            warm,
            self.running_count,
            len(self._queue),
            pause_s,
            NoLimit()
            if self.rate_limit is None
            else NamedLimit(self.rate_limit),
        )
