"""Construction of the data path from callers to backend servers."""

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

# An older report does not show how many slots are free now.
_MAX_REPORT_AGE_NS: Final[Nanoseconds] = 2 * SECOND_NS


@frozen
class SourceMeter:
    """Implements ``TrafficMeter`` by counting requests per source region."""

    _lookups: LookupService
    _meter: DemandMeter

    def record_start(self, service: str, client: str, now: Nanoseconds) -> None:
        """Count the start of a request from a client address."""
        self._meter.record_start(service, self._lookups.region_of(client), now)

    def record_completion(
        self, service: str, client: str, now: Nanoseconds
    ) -> None:
        """Count the end of a request from a client address."""
        self._meter.record_completion(
            service, self._lookups.region_of(client), now
        )


@frozen
class DaemonShares:
    """Shares of this daemon in the resources that daemons use together."""

    _entries: EntrySource
    _place: Place

    def slot_limit(self, server: ServerState) -> int:
        """Return how many slots of a server this daemon may use.

        Each daemon near the server gets an equal share. It may use more if a
        recent report shows that the other daemons leave more slots free.
        """
        all_slots = server.server.slots
        equal_share = -(-all_slots // max(1, self._count_nearby(server)))
        if server.reported_at is None:
            return equal_share
        if current_time() - server.reported_at > _MAX_REPORT_AGE_NS:
            return equal_share
        return max(equal_share, all_slots - server.other_requests)

    def link_share(self) -> int:
        """Return the share of the links of the region, parts per million."""
        count = sum(
            entry.region == self._place.region
            for entry in self._entries.entries()
        )
        return PARTS_PER_MILLION // max(1, count)

    def _count_nearby(self, server: ServerState) -> int:
        """Return how many daemons divide the slots of a server.

        For a server of the own zone these are the daemons of the zone, for any
        other server those of its region.
        """
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
    """Build the data path and subscribe it to the configuration in force."""
    hello = control.hello
    keys = KeyTable()
    control.holder.subscribe(keys.apply)
    place = Place(hello.zone, hello.region)
    shares = DaemonShares(control.entries, place)
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
            shares.slot_limit,
            shares.link_share,
        )
    )
    data_path.front.follow(control.holder)
    return data_path


def update_server_loads(load_table: LoadTable, state: DispatchState) -> None:
    """Update servers for which the load table has a newer load.

    Args:
        load_table: Reported loads of the backend servers.
        state: State to update; backend servers are chosen from it.
    """
    for name, server in state.servers.items():
        load = load_table.servers.get(name)
        if load is None:
            continue
        if server.reported_at is None or load.measured_at > server.reported_at:
            record_report(
                server, load.in_flight, load.is_leaving, load.measured_at
            )


def update_drained_zones(
    plans: PlanSource, entries: EntrySource, state: DispatchState
) -> None:
    """Send no new requests to servers of zones whose drain is complete.

    Args:
        plans: Plans that the look-up responses follow.
        entries: Live entry instances.
        state: State from which backend servers are chosen.
    """
    for service in state.services:
        plan = plans.plan(service)
        withdrawn = {} if plan is None else dict(plan.withdrawn)
        drained_zones = {
            server.server.zone
            for server in state.servers.values()
            if server.server.zone in withdrawn
            and is_fully_withdrawn(
                destination_zones(entries.entries(), server.region),
                withdrawn,
                server.server.zone,
            )
        }
        set_drained_zones(state, service, drained_zones, current_time())
