"""Builds the data path out of the other parts of the daemon."""

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
from geraniumshelf_daemon.front.pipeline import Pipeline, Sources
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.links import LinkPacer, full_link_share
from geraniumshelf_daemon.upstream.pool import ConnectionPool


@frozen
class DataPathDependencies:
    """What the data path needs from the rest of the daemon.

    Attributes:
        place: Where the daemon runs.
        slot_limit: Returns the requests of this daemon that a backend server
            may run at once.
        link_share: Returns this daemon's share of the links between regions,
            parts per million.
        idle_limit: Idle connections kept for each backend server.
        connect_timeout: Time for opening a connection, nanoseconds.
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
    """The running parts of the data path.

    Attributes:
        front: Serves callers.
        dispatcher: Knows the backend servers.
        pool: Idle connections, to be closed at the end.
    """

    front: Front
    dispatcher: Dispatcher
    pool: ConnectionPool


def build_data_path(around: DataPathDependencies) -> DataPath:
    """Build the data path; the front listens when it is told to."""
    clock = around.clock
    gate = RequestGate(around.keys, around.cut_off, clock)
    dispatcher = Dispatcher(
        around.place,
        around.failover,
        clock,
        around.random,
        around.slot_limit,
    )
    pool = ConnectionPool(around.idle_limit, around.connect_timeout)
    pacer = LinkPacer(around.place.region, clock, around.link_share)
    pipeline = Pipeline(
        Sources(
            gate,
            around.lookups,
            around.allowances,
            around.decider,
            around.meter,
            Forwarder(dispatcher, pool, pacer, clock),
            clock,
        )
    )
    return DataPath(
        Front(pipeline, gate, dispatcher, pacer),
        dispatcher,
        pool,
    )
