"""Builds the path of requests from callers to backend servers."""

from collections.abc import Callable
from random import Random

from attrs import field, frozen

from geraniumshelf_core.dispatch.queries import SlotLimit, all_slots
from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.front.admission import RequestGate
from geraniumshelf_daemon.front.forwarding import Forwarder
from geraniumshelf_daemon.front.front import Front
from geraniumshelf_daemon.front.interface import (
    AllowanceSource,
    CutOffSource,
    FailoverSource,
    KeySource,
    LookupSource,
    TrafficMeter,
)
from geraniumshelf_daemon.front.pipeline import Pipeline, PipelineDependencies
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.links import LinkPacer, full_link_share
from geraniumshelf_daemon.upstream.pool import ConnectionPool


@frozen
class DataPathDependencies:
    """Dependencies of the data path on the rest of the daemon.

    Attributes:
        place: Zone and region in which the daemon runs.
        lookups: Serves look-ups of entry instances.
        allowances: Enforces the rate and burst of each client account.
        keys: Finds keys of the configuration in force.
        cut_off: Reports whether key withdrawals still reach this daemon.
        failover: Enforces the allowances towards other regions.
        decider: Decides whether a request with a request id may run.
        meter: Measures traffic for the plans.
        clock: Returns the current time, nanoseconds.
        random: Source of randomness for the choice of backend servers.
        slot_limit: Returns how many requests of this daemon a backend server
            may run at once.
        link_share: Returns this daemon's share of the links between regions,
            parts per million.
        idle_limit: Idle connections kept for each backend server.
        connect_timeout: Timeout for opening a connection, nanoseconds.
    """

    place: Place
    lookups: LookupSource
    allowances: AllowanceSource
    keys: KeySource
    cut_off: CutOffSource
    failover: FailoverSource
    decider: RunDecider
    meter: TrafficMeter
    clock: Callable[[], Nanoseconds]
    random: Random = field(factory=Random)
    slot_limit: SlotLimit = all_slots
    link_share: Callable[[], int] = full_link_share
    idle_limit: int = 8
    connect_timeout: Nanoseconds = SECOND_NS


@frozen
class DataPath:
    """The components of the data path.

    Attributes:
        front: Serves callers.
        dispatcher: Chooses backend servers and tracks their state.
        pool: Idle connections to backend servers; close it on shutdown.
    """

    front: Front
    dispatcher: Dispatcher
    pool: ConnectionPool


def build_data_path(dependencies: DataPathDependencies) -> DataPath:
    """Build the data path without listening on a port yet."""
    clock = dependencies.clock
    gate = RequestGate(dependencies.keys, dependencies.cut_off, clock)
    dispatcher = Dispatcher(
        dependencies.place,
        dependencies.failover,
        clock,
        dependencies.random,
        dependencies.slot_limit,
    )
    pool = ConnectionPool(dependencies.idle_limit, dependencies.connect_timeout)
    pacer = LinkPacer(dependencies.place.region, clock, dependencies.link_share)
    pipeline = Pipeline(
        PipelineDependencies(
            gate,
            dependencies.lookups,
            dependencies.allowances,
            dependencies.decider,
            dependencies.meter,
            Forwarder(dispatcher, pool, pacer, clock),
            clock,
        )
    )
    return DataPath(
        Front(pipeline, gate, dispatcher, pacer),
        dispatcher,
        pool,
    )
