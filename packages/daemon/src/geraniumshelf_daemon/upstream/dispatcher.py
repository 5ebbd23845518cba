"""Assigns requests to backend servers and queues them for free slots."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from attrs import evolve, frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.dispatch.commands import (
    avoid_server,
    begin_request,
    earn_retries,
    end_request,
    record_full,
    replace_servers,
    spend_retry,
)
from geraniumshelf_core.dispatch.queries import (
    ServerQuery,
    SlotLimit,
    all_slots,
    choose_server,
    has_servers,
)
from geraniumshelf_core.dispatch.state import (
    DispatchState,
    Place,
    RetryBudget,
    ServerState,
)
from geraniumshelf_core.dispatch.waiting.commands import (
    enqueue,
    record_completion,
    remove,
    take_next,
)
from geraniumshelf_core.dispatch.waiting.queries import next_ticket
from geraniumshelf_core.dispatch.waiting.state import (
    QueueRejection,
    Ticket,
    WaitQueue,
)
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.front.interface import FailoverSource
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

_MAX_QUEUE_LENGTH: Final = 256
# Slots also become free without the completion of a request: after an
# ejection, during a slow start, or when a server that was full may be tried
# again. Queued requests therefore check for a slot at this interval.
_RECHECK_INTERVAL_S: Final = 0.06


@frozen
class DispatchRequest:
    """A request for a slot on a backend server.

    Attributes:
        service: Service name.
        account: Client account, empty on open routes.
        may_wait: Whether it yields to requests that may not wait.
        deadline: Time until which it may wait for a slot, nanoseconds.
        excluded: Names of the servers on which it has already failed.
    """

    service: str
    account: str
    may_wait: bool
    deadline: Nanoseconds
    excluded: frozenset[str] = frozenset()


class Dispatcher:
    """Chooses backend servers and keeps their state at this daemon."""

    def __init__(
        self,
        place: Place,
        failover: FailoverSource,
        clock: Callable[[], Nanoseconds],
        random: Random,
        slot_limit: SlotLimit = all_slots,
    ) -> None:
        self._state = DispatchState(place)
        self._failover = failover
        self._clock = clock
        self._random = random
        self._slot_limit = slot_limit
        self._queues: dict[str, WaitQueue] = {}
        self._retry_budget = RetryBudget()

    @property
    def state(self) -> DispatchState:
        """Return the state of the backend servers."""
        return self._state

    def now(self) -> Nanoseconds:
        """Return the current time."""
        return self._clock()

    def apply(self, configuration: Configuration) -> None:
        """Apply the backend servers of a configuration revision."""
        regions = {zone.name: zone.region for zone in configuration.zones}
        replace_servers(
            self._state, configuration.servers, regions, self._clock()
        )

    async def reserve(self, request: DispatchRequest) -> ServerState:
        """Reserve a slot for a request and return its server.

        The caller frees the slot with ``release``.

        Raises:
            RequestRefused: ``NO_BACKEND_SERVER`` if no server may serve the
                request, ``OVERLOADED`` if no slot becomes free in time.
        """
        earn_retries(self._retry_budget)
        self._failover.record_arrival(request.service, self._clock())
        request = self._relax_exclusions(request)
        queue = self._queues.setdefault(
            request.service, WaitQueue(_MAX_QUEUE_LENGTH)
        )
        if next_ticket(queue) is None:
            server = self._choose(request)
            if server is not None:
                return server
        return await self._wait_for_slot(queue, request)

    def release(
        self,
        server: ServerState,
        *,
        is_failure: bool = False,
        is_shed: bool = False,
    ) -> None:
        """Free a slot and assign free slots to waiting requests.

        Args:
            server: The server that was reserved.
            is_failure: Whether the attempt counts as a failure of the server.
            is_shed: Whether the server rejected the request because of its
                load.
        """
        now = self._clock()
        if is_failure or is_shed:
            avoid_server(server, now)
        if is_shed:
            record_full(server, now)
        if end_request(self._state, server, is_failure, now):
            log_event(Event.BACKEND_EJECTED, server.server.name)
        queue = self._queues[server.server.service]
        record_completion(queue, now)
        self._serve_queue(queue)

    def try_spend_retry(self) -> bool:
        """Take one retry from the retry budget; return whether it had one."""
        is_allowed = spend_retry(self._retry_budget)
        count_metric(Metric.RETRIES, int(is_allowed))
        return is_allowed

    def _relax_exclusions(self, request: DispatchRequest) -> DispatchRequest:
        now = self._clock()
        if has_servers(self._state, self._build_query(request), now):
            return request
        # The request has already failed on every server that is available.
        # A new connection to one of them is better than no attempt.
        request = evolve(request, excluded=frozenset())
        if has_servers(self._state, self._build_query(request), now):
            return request
        raise RequestRefused(
            ResultCode.NO_BACKEND_SERVER,
            f'no backend server of service {request.service} is available',
            retry_after_s=1,
        )

    async def _wait_for_slot(
        self, queue: WaitQueue, request: DispatchRequest
    ) -> ServerState:
        reservation: asyncio.Future[ServerState] = (
            asyncio.get_running_loop().create_future()
        )
        ticket = Ticket(
            request.account,
            request.may_wait,
            request.deadline,
            (reservation, request),
        )
        enqueue_result = enqueue(queue, ticket, self._clock())
        if isinstance(enqueue_result, QueueRejection):
            raise _build_overload_error(request, enqueue_result.retry_after)
        if enqueue_result.evicted is not None:
            _reject_evicted(enqueue_result.evicted)
        try:
            return await self._wait_until_reserved(queue, ticket, reservation)
        except asyncio.CancelledError:
            if reservation.done() and not reservation.exception():
                self.release(reservation.result())
            raise
        finally:
            remove(queue, ticket)

    async def _wait_until_reserved(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        reservation: asyncio.Future[ServerState],
    ) -> ServerState:
        while not reservation.done():
            remaining = ticket.deadline - self._clock()
            if remaining <= 0:
                raise _build_overload_error(ticket.context[1], SECOND_NS)
            await asyncio.wait(
                (reservation,),
                timeout=min(_RECHECK_INTERVAL_S, remaining / SECOND_NS),
            )
            if not reservation.done():
                self._serve_queue(queue)
        return reservation.result()

    def _serve_queue(self, queue: WaitQueue) -> None:
        while (ticket := next_ticket(queue)) is not None:
            reservation, request = ticket.context
            server = self._choose(request) or self._choose_without_exclusions(
                request
            )
            if server is None:
                return
            take_next(queue)
            reservation.set_result(server)

    def _choose_without_exclusions(
        self, request: DispatchRequest
    ) -> ServerState | None:
        # The queue is served in order, so a request that only waits because
        # of its excluded servers would block all requests behind it.
        if not request.excluded:
            return None
        return self._choose(evolve(request, excluded=frozenset()))

    def _choose(self, request: DispatchRequest) -> ServerState | None:
        now = self._clock()
        server = choose_server(
            self._state,
            self._build_query(request),
            self._slot_limit,
            self._random,
            now,
        )
        if server is not None:
            begin_request(server)
            if server.region != self._state.place.region:
                self._failover.record_spill(request.service, server.region, now)
        return server

    def _build_query(self, request: DispatchRequest) -> ServerQuery:
        regions = self._failover.rank_regions(request.service, self._clock())
        return ServerQuery(request.service, regions, request.excluded)


def _reject_evicted(ticket: Ticket) -> None:
    reservation, request = ticket.context
    if not reservation.done():
        reservation.set_exception(_build_overload_error(request, SECOND_NS))


def _build_overload_error(
    request: DispatchRequest, retry_after: Nanoseconds
) -> RequestRefused:
    return RequestRefused(
        ResultCode.OVERLOADED,
        f'no free slot on the backend servers of service {request.service}',
        retry_after_s=max(1, -(-retry_after // SECOND_NS)),
    )
