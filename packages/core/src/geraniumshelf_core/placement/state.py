"""What one daemon knows of the backend servers in the platform's store."""

from collections import deque
from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.placement.demand import DemandState
from geraniumshelf_core.placement.paces import Pace
from geraniumshelf_core.placement.rejection_rates import RejectionRate
from geraniumshelf_core.placement.server_limits import ServerLimit
from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.shares.permits import PermitStock
from geraniumshelf_core.shares.whole_shares import WholeShares
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# The weight of a reported load falls linearly to zero over this time, because
# a server finishes most of the reported requests within it.
REPORT_DECAY_NS: Nanoseconds = SECOND_NS
# The same for a reported speed. Servers of the deployments are slow for 0.6 s
# at a time.
_SPEED_DECAY_MS: Final = 600
SPEED_DECAY_NS: Final[Nanoseconds] = _SPEED_DECAY_MS * MILLISECOND_NS
_LONG_AGO_S: Final = -3600
# Stands for the time of what has not happened yet.
LONG_AGO: Final[Nanoseconds] = _LONG_AGO_S * SECOND_NS


@define(eq=False)
class Notice:
    """What a backend server has announced in its responses since its start.

    Attributes:
        is_leaving: Whether it is about to shut down.
        paused_until: End of the pause that it requested, 0 for none.
        limit: The limit that it has named.
        permits: Permits of this daemon for requests under that limit.
    """

    is_leaving: bool = False
    paused_until: Nanoseconds = 0
    limit: ServerLimit = field(factory=ServerLimit)
    permits: PermitStock = field(factory=PermitStock)


@define(eq=False)
class ServerView:
    """One backend server as this daemon sees it.

    Attributes:
        server: Its entry in the platform's store.
        region: Region of its zone.
        notice: What it has announced in its responses.
        send_times: Times at which this daemon sent requests to it lately.
        in_flight: Requests of this daemon that it runs or queues.
        other_requests: Requests of other daemons at the time of the last
            report.
        reported_at: Time of the last report, ``None`` before the first.
        speed: Multiple of the usual time that work took there by its last
            report, 1 before the first.
        speed_at: Time at which it sent that report.
        slowness: Smoothed ratio of the times of its responses to the expected
            times.
        last_response_at: Time of the last response.
        failure_rate: Smoothed fraction of failed requests, 0 to 1.
        failures: Consecutive failures.
        ejected_until: End of its ejection, 0 for none.
        is_unreachable: Whether the last connection to it failed; only one
            request at a time may then try it.
        full_until: Time until which it counts as full.
        cold_until: End of its cold start, 0 for none.
        checked_at: Time of the last health check that showed that it is not
            cold.
        check_started_at: Time at which the last health check began.
        needed_at: Last time at which a request needed it while the list of
            servers was not current.
        reserved_sends: Requests for which this daemon opens a connection to it.
        warm_objects: Objects that it has handled for this daemon, least
            recently used first (an ordered set).
        idle_time: Keep-alive timeout that it announced, ``None`` if it
            announced none.
        pace: Limits on the requests to it after its start or recovery, ``None``
            if it is not paced.
        rejections: Rate at which it rejects requests without being full.
        longest_queue: Most requests that it has reported as waiting.
    """

    server: ListedServer
    region: str
    notice: Notice = field(factory=Notice)
    send_times: deque[Nanoseconds] = field(factory=deque)
    in_flight: int = 0
    other_requests: int = 0
    reported_at: Nanoseconds | None = None
    speed: float = 1
    speed_at: Nanoseconds = LONG_AGO
    slowness: float = 1
    last_response_at: Nanoseconds = 0
    failure_rate: float = 0
    failures: int = 0
    ejected_until: Nanoseconds = 0
    is_unreachable: bool = False
    full_until: Nanoseconds = 0
    cold_until: Nanoseconds = 0
    checked_at: Nanoseconds = LONG_AGO
    check_started_at: Nanoseconds = LONG_AGO
    needed_at: Nanoseconds = LONG_AGO
    reserved_sends: int = 0
    warm_objects: dict[str, None] = field(factory=dict)
    idle_time: Nanoseconds | None = None
    pace: Pace | None = None
    rejections: RejectionRate = field(factory=RejectionRate)
    longest_queue: int = 0


@define
class TypicalWork:
    """Moving averages of the work of a service, without time in queues.

    Attributes:
        warm: For objects that the server has handled before, nanoseconds.
        cold: For other objects, nanoseconds.
        cold_fraction: Fraction of the requests that are for other objects.
    """

    warm: float
    cold: float
    cold_fraction: float = 0


@define
class SpillState:
    """How many objects of a service this region spills to other regions.

    Attributes:
        fraction: Fraction of the objects whose home is in another region.
        base_fraction: Fraction that follows from the slots that this region
            lacks, compared with the average of all regions.
        spare_slots: Slots of each region above the average of all regions, at
            least a small positive number.
        weights: Weights by which the other regions share the spilled objects.
        planned_fraction: Fraction that the plan in force aims at.
        is_by_demand: Whether the plan in force follows the demand.
        is_by_slots: Whether the weights are those of the plan by slots.
        slots: Slots of the usable servers by region.
        load: Smoothed load per slot of all regions by their demand, ``None``
            before it is known.
    """

    fraction: float = 0
    base_fraction: float = 0
    spare_slots: dict[str, float] = field(factory=dict)
    weights: dict[str, float] = field(factory=dict)
    planned_fraction: float = 0
    is_by_demand: bool = False
    is_by_slots: bool = True
    slots: dict[str, float] = field(factory=dict)
    load: float | None = None


@define
class PlacementState:
    """All listed backend servers.

    Attributes:
        place: Zone and region of this daemon.
        regions: Region by zone.
        cold_rate_per_share: Requests a second that one share of a daemon
            allows to a cold server of this region, by service.
        whole_shares: Whole shares that this daemon holds.
        servers: Views by server name.
        unreachable_at: Last time at which a server accepted no connection, by
            server name.
        send_times: Times at which this daemon sent requests lately, by server
            name; they outlast the view of a server whose entry lapses.
        notices: Notices of servers, by name and start time in Unix
            milliseconds.
        limited: Servers with a limit in force, by name and start time (an
            ordered set).
        usable: Names of the servers that may get work, by service and region.
        evacuated: Zones that get no new work.
        spills: Spill state by service.
        demand: Demand of the callers of each region.
        rankings: Cached order of servers by service, region and object.
        typical_work_times: Average work by service.
        speeds_known_at: Last time at which a server reported its speed, by
            service.
        region_entries: Daemons of the own region that take callers.
        rejections: Rate of rejections without being full, by service.
        has_placed_requests: Whether requests have been placed; from then on
            objects change region only in bounded steps.
        started_at: Time at which this daemon started.
        list_confirmed_at: Time at which the list of servers was last known to
            lack no change.
        max_list_age: Time for which the list counts as current afterwards.
        policies: The policies in use.
    """

    place: Place
    regions: Mapping[str, str]
    cold_rate_per_share: dict[str, float] = field(factory=dict)
    whole_shares: WholeShares = field(factory=WholeShares)
    servers: dict[str, ServerView] = field(factory=dict)
    unreachable_at: dict[str, Nanoseconds] = field(factory=dict)
    send_times: dict[str, deque[Nanoseconds]] = field(factory=dict)
    notices: dict[tuple[str, int], Notice] = field(factory=dict)
    limited: dict[tuple[str, int], None] = field(factory=dict)
    usable: dict[tuple[str, str], tuple[str, ...]] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    spills: dict[str, SpillState] = field(factory=dict)
    demand: DemandState = field(factory=DemandState)
    rankings: dict[tuple[str, str, str], tuple[str, ...]] = field(factory=dict)
    typical_work_times: dict[str, TypicalWork] = field(factory=dict)
    speeds_known_at: dict[str, Nanoseconds] = field(factory=dict)
    region_entries: int = 1
    rejections: dict[str, RejectionRate] = field(factory=dict)
    has_placed_requests: bool = False
    started_at: Nanoseconds = LONG_AGO
    list_confirmed_at: Nanoseconds = LONG_AGO
    max_list_age: Nanoseconds = SECOND_NS
    policies: Policies = DEFAULT_POLICIES


@frozen
class PlacementRequest:
    """A request for which a server is selected.

    Attributes:
        service: Service name.
        object_name: Object that it concerns; requests for one object go to
            the same server where possible.
        regions: Regions that may serve it; ``None`` for all.
        excluded: Names of servers that it was already sent to.
    """

    service: str
    object_name: str
    regions: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()


@frozen
class Candidate:
    """A server that could serve a request, and the expected times.

    Attributes:
        view: The server.
        expected_wait: Expected time in the queue of the server.
        expected_work: Expected time of the work.
        network_delay: Network round-trip time to the server.
        slot_turnover: Average time in which each of its slots finishes one
            request.
        load: Requests that it runs and queues, as a fraction of its slots.
        speed: Multiple of the usual time that work is expected to take there,
            a part of the expected work.
    """

    view: ServerView
    expected_wait: Nanoseconds
    expected_work: Nanoseconds
    network_delay: Nanoseconds
    slot_turnover: Nanoseconds = 0
    load: float = 0
    speed: float = 1

    @property
    def expected_latency(self) -> Nanoseconds:
        """Return the expected time until the response."""
        return self.expected_wait + self.expected_work + self.network_delay
