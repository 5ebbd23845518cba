"""Builds the way of requests from callers to backend servers."""

from random import Random
from typing import Final

from attrs import frozen

from geraniumshelf_core.dispatch.commands import (
    record_report,
    set_drained_zones,
)
from geraniumshelf_core.dispatch.state import (
    DispatchState,
    Place,
    ServerState,
)
from geraniumshelf_core.loads.state import LoadTable
from geraniumshelf_core.lookup.answer import destination_zones
from geraniumshelf_core.lookup.withdrawal import is_fully_withdrawn
from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    SECOND_NS,
    Nanoseconds,
)
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.failover.budget import FailoverBudget
from geraniumshelf_daemon.front.assembly import (
    DataPath,
    DataPathDependencies,
    build_data_path,
)
from geraniumshelf_daemon.lookups.interface import EntrySource, PlanSource
from geraniumshelf_daemon.lookups.service import LookupService
from geraniumshelf_daemon.steering.demand import DemandMeter
from geraniumshelf_daemon.wiring.control_plane import ControlPlane
from geraniumshelf_daemon.wiring.key_table import KeyTable
from geraniumshelf_daemon.wiring.limits import Limits
from geraniumshelf_daemon.wiring.steering import Steering

# A report older than this says nothing about the slots that are free now.
_FRESH_REPORT: Final[Nanoseconds] = 2 * SECOND_NS


@frozen
class SourceMeter:
    """Implements ``TrafficMeter``: counts requests by their source region."""

    _lookups: LookupService
    _meter: DemandMeter

    def record_start(self, service: str, client: str, now: Nanoseconds) -> None:
        """Count a request that arrived from a client address."""
        self._meter.record_start(service, self._lookups.region_of(client), now)

    def record_completion(
        self, service: str, client: str, now: Nanoseconds
    ) -> None:
        """Count the end of a request."""
        self._meter.record_completion(
            service, self._lookups.region_of(client), now
        )


@frozen
class Portions:
    """This daemon's portion of what daemons use together."""

    _entries: EntrySource
    _place: Place

    def slots(self, server: ServerState) -> int:
        """Return how many slots of a server this daemon may use.

        It is an equal part for each daemon near the server, or what the
        others leave free by a fresh report if that is more.
        """
        whole = server.server.slots
        equal = -(-whole // max(1, self._count_near(server)))
        if server.reported_at is None:
            return equal
        if current_time() - server.reported_at > _FRESH_REPORT:
            return equal
        return max(equal, whole - server.other_requests)

    def links(self) -> int:
        """Return the share of the region's links, parts per million."""
        count = sum(
            entry.region == self._place.region
            for entry in self._entries.entries()
        )
        return PARTS_PER_MILLION // max(1, count)

    def _count_near(self, server: ServerState) -> int:
        is_own_zone = server.server.zone == self._place.zone
        return sum(
            entry.zone == self._place.zone
            if is_own_zone
            else entry.region == server.region
            for entry in self._entries.entries()
        )


def wire_data_path(
    control: ControlPlane, limits: Limits, steering: Steering
) -> DataPath:
    """Return the data path, which follows the configuration in force."""
    hello = control.hello
    keys = KeyTable()
    control.holder.subscribe(keys.apply)
    place = Place(hello.zone, hello.region)
    portions = Portions(control.entries, place)
    data_path = build_data_path(
        DataPathDependencies(
            place,
            steering.lookups,
            limits.allowances,
            keys,
            control.members,
            FailoverBudget(steering.plans, hello.region),
            limits.decider,
            SourceMeter(steering.lookups, steering.collector.meter),
            current_time,
            Random(hello.incarnation),
            portions.slots,
            portions.links,
        )
    )
    data_path.front.follow(control.holder)
    return data_path


def copy_loads(book: LoadTable, state: DispatchState) -> None:
    """Copy loads that were measured after those already known.

    Args:
        book: Loads as reported.
        state: What the choice of backend servers knows.
    """
    for name, server in state.servers.items():
        load = book.servers.get(name)
        if load is None:
            continue
        if server.reported_at is None or load.measured_at > server.reported_at:
            record_report(
                server, load.in_flight, load.is_leaving, load.measured_at
            )


def update_drained_zones(
    plans: PlanSource, entries: EntrySource, state: DispatchState
) -> None:
    """Give no new work to servers of zones whose drain is complete.

    Args:
        plans: The plans that look-up answers follow.
        entries: The live entry instances.
        state: What the choice of backend servers knows.
    """
    for service in state.services:
        plan = plans.plan(service)
        points = {} if plan is None else dict(plan.withdrawn)
        empty = {
            server.server.zone
            for server in state.servers.values()
            if server.server.zone in points
            and is_fully_withdrawn(
                destination_zones(entries.entries(), server.region),
                points,
                server.server.zone,
            )
        }
        set_drained_zones(state, service, empty, current_time())
