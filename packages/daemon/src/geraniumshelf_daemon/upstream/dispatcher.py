"""Assigns requests to backend servers and lets them wait for slots."""

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

_QUEUE_LIMIT: Final = 256
# Slots also come free without an end of a request: after an ejection or
# during a slow start, or when a server that was full is asked again.
_RECHECK_S: Final = 0.06


@frozen
class DispatchRequest:
    """A request that needs a backend server.

    Attributes:
        service: Service name.
        account: Client account, empty on open routes.
        may_wait: Whether it yields to other requests.
        give_up_at: Time until which it may wait for a slot.
        excluded: Servers that have failed it already.
    """

    service: str
    account: str
    may_wait: bool
    give_up_at: Nanoseconds
    excluded: frozenset[str] = frozenset()


class Dispatcher:
    """Owns what this daemon knows of the backend servers."""

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
        self._budget = RetryBudget()

    @property
    def state(self) -> DispatchState:
        """Return what is known of the backend servers."""
        return self._state

    def now(self) -> Nanoseconds:
        """Return the current time."""
        return self._clock()

    def apply(self, configuration: Configuration) -> None:
        """Take over the backend servers of a revision."""
        regions = {zone.name: zone.region for zone in configuration.zones}
        replace_servers(
            self._state, configuration.servers, regions, self._clock()
        )

    async def reserve(self, need: DispatchRequest) -> ServerState:
        """Return a server with a slot for a request; ``release`` frees it.

        Raises:
            RequestRefused: ``NO_BACKEND_SERVER`` if none may serve it,
                ``OVERLOADED`` if none has a slot in time.
        """
        earn_retries(self._budget)
        self._failover.record_arrival(need.service, self._clock())
        need = self._check_servers(need)
        queue = self._queues.setdefault(need.service, WaitQueue(_QUEUE_LIMIT))
        if next_ticket(queue) is None:
            server = self._choose(need)
            if server is not None:
                return server
        return await self._wait(queue, need)

    def release(
        self,
        server: ServerState,
        *,
        is_failure: bool = False,
        is_shed: bool = False,
    ) -> None:
        """Free a slot and give it to the next waiting request."""
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
        """Take one retry out of the budget if it allows one."""
        is_allowed = spend_retry(self._budget)
        count_metric(Metric.RETRIES, int(is_allowed))
        return is_allowed

    def _check_servers(self, need: DispatchRequest) -> DispatchRequest:
        now = self._clock()
        if has_servers(self._state, self._wish(need), now):
            return need
        # Another connection to the same server is better than no attempt.
        need = evolve(need, excluded=frozenset())
        if has_servers(self._state, self._wish(need), now):
            return need
        raise RequestRefused(
            ResultCode.NO_BACKEND_SERVER,
            f'no backend server of {need.service} takes requests',
            retry_after_s=1,
        )

    async def _wait(
        self, queue: WaitQueue, need: DispatchRequest
    ) -> ServerState:
        granted: asyncio.Future[ServerState] = (
            asyncio.get_running_loop().create_future()
        )
        ticket = Ticket(
            need.account, need.may_wait, need.give_up_at, (granted, need)
        )
        admission = enqueue(queue, ticket, self._clock())
        if isinstance(admission, QueueRejection):
            raise _overloaded(need, admission.retry_after)
        if admission.evicted is not None:
            _turn_away(admission.evicted)
        try:
            return await self._wait_turn(queue, ticket, granted)
        except asyncio.CancelledError:
            if granted.done() and not granted.exception():
                self.release(granted.result())
            raise
        finally:
            remove(queue, ticket)

    async def _wait_turn(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        granted: asyncio.Future[ServerState],
    ) -> ServerState:
        while not granted.done():
            left = ticket.deadline - self._clock()
            if left <= 0:
                raise _overloaded(ticket.context[1], SECOND_NS)
            await asyncio.wait(
                (granted,), timeout=min(_RECHECK_S, left / SECOND_NS)
            )
            if not granted.done():
                self._serve_queue(queue)
        return granted.result()

    def _serve_queue(self, queue: WaitQueue) -> None:
        while (ticket := next_ticket(queue)) is not None:
            granted, need = ticket.context
            server = self._choose(need) or self._choose_any(need)
            if server is None:
                return
            take_next(queue)
            granted.set_result(server)

    def _choose_any(self, need: DispatchRequest) -> ServerState | None:
        # A request that waits because of its exclusions would hold up all
        # requests behind it.
        if not need.excluded:
            return None
        return self._choose(evolve(need, excluded=frozenset()))

    def _choose(self, need: DispatchRequest) -> ServerState | None:
        now = self._clock()
        server = choose_server(
            self._state,
            self._wish(need),
            self._slot_limit,
            self._random,
            now,
        )
        if server is not None:
            begin_request(server)
            if server.region != self._state.place.region:
                self._failover.record_spill(need.service, server.region, now)
        return server

    def _wish(self, need: DispatchRequest) -> ServerQuery:
        regions = self._failover.rank_regions(need.service, self._clock())
        return ServerQuery(need.service, regions, need.excluded)


def _turn_away(ticket: Ticket) -> None:
    granted, need = ticket.context
    if not granted.done():
        granted.set_exception(_overloaded(need, SECOND_NS))


def _overloaded(need: DispatchRequest, wait: Nanoseconds) -> RequestRefused:
    return RequestRefused(
        ResultCode.OVERLOADED,
        f'all backend servers of {need.service} are busy',
        retry_after_s=max(1, -(-wait // SECOND_NS)),
    )
