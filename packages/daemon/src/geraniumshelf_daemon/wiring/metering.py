"""Measures the traffic that steering moves."""

from collections.abc import Callable

from geraniumshelf_core.idempotency.state import Finished
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.front.admission import Order
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.forwarding import Forwarder
from geraniumshelf_daemon.front.running import RunningRequest
from geraniumshelf_daemon.steering.demand import DemandMeter
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.pool import ConnectionPool


class MeteredForwarder(Forwarder):
    """Counts each admitted request while it waits or runs.

    Args:
        meter: Takes the counts.
        find_region: Returns the region of a client address.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        pacer: LinkPacer,
        clock: Callable[[], Nanoseconds],
        *,
        meter: DemandMeter,
        find_region: Callable[[str], str],
    ) -> None:
        super().__init__(dispatcher, pool, pacer, clock)
        self._meter = meter
        self._find_region = find_region

    async def run(
        self, caller: Caller, order: Order, running: RunningRequest
    ) -> Finished:
        """Run a request as the base class does."""
        name = order.service.name
        source = self._find_region(caller.address)
        self._meter.enter(name, source, self._clock())
        try:
            return await super().run(caller, order, running)
        finally:
            self._meter.leave(name, source, self._clock())
