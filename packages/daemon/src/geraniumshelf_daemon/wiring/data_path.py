"""Builds the way of requests from callers to backend servers."""

from random import Random
from typing import Final

from geraniumshelf_core.dispatch.commands import record_report
from geraniumshelf_core.dispatch.state import DispatchState, Place
from geraniumshelf_core.loads.state import LoadBook
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.failover.budget import FailoverBudget
from geraniumshelf_daemon.front.admission import Gate
from geraniumshelf_daemon.front.front import Front
from geraniumshelf_daemon.front.pipeline import Pipeline, Sources
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.wiring.control import ControlPlane
from geraniumshelf_daemon.wiring.keys import KeyTable
from geraniumshelf_daemon.wiring.limits import Limits
from geraniumshelf_daemon.wiring.metering import MeteredForwarder
from geraniumshelf_daemon.wiring.steering import Steering

_IDLE_CONNECTIONS: Final = 32


class DataPath:
    """Serves callers and knows the backend servers."""

    def __init__(
        self, control: ControlPlane, limits: Limits, steering: Steering
    ) -> None:
        hello = control.hello
        self._steering = steering
        keys = KeyTable()
        control.holder.subscribe(keys.apply)
        gate = Gate(keys, control.members, current_time)
        pacer = LinkPacer(hello.region, current_time)
        self._dispatcher = Dispatcher(
            Place(hello.zone, hello.region),
            FailoverBudget(steering.plans, hello.region),
            current_time,
            Random(hello.incarnation),
        )
        forwarder = MeteredForwarder(
            self._dispatcher,
            ConnectionPool(_IDLE_CONNECTIONS, SECOND_NS),
            pacer,
            current_time,
            meter=steering.collector.meter,
            find_region=steering.lookups.region_of,
        )
        sources = Sources(
            gate,
            steering.lookups,
            limits.allowances,
            limits.decider,
            forwarder,
            current_time,
        )
        self._front = Front(Pipeline(sources), gate, self._dispatcher, pacer)
        self._front.follow(control.holder)

    @property
    def front(self) -> Front:
        """Return the server for callers."""
        return self._front

    def refresh(self) -> None:
        """Take reported loads over into the choice of backend servers."""
        copy_loads(self._steering.collector.book, self._dispatcher.state)


def copy_loads(book: LoadBook, state: DispatchState) -> None:
    """Copy loads that were measured after those already known.

    Args:
        book: Loads as reported.
        state: What the choice knows of the servers.
    """
    for name, server in state.servers.items():
        load = book.servers.get(name)
        if load is None:
            continue
        if server.reported_at is None or load.measured_at > server.reported_at:
            record_report(
                server, load.in_flight, load.is_leaving, load.measured_at
            )
