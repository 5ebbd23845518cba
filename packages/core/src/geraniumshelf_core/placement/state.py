"""What one daemon knows of the backend servers that the platform lists."""

from collections import deque
from collections.abc import Mapping

from attrs import define, field, frozen

from geraniumshelf_core.dispatch.state import Place
from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.shares.holding import Holding
from geraniumshelf_core.site.model import ListedServer
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A reported load counts less the older it is; a server finishes most of what
# it reported within this time.
REPORT_LIFE_NS: Nanoseconds = SECOND_NS


@define(eq=False)
class Notice:
    """What a backend server has said of itself since its start.

    Attributes:
        is_leaving: Whether it is about to leave.
        paused_until: End of the time for which it wants no requests.
    """

    is_leaving: bool = False
    paused_until: Nanoseconds = 0


@define(eq=False)
class ServerView:
    """One backend server as this daemon sees it.

    Attributes:
        server: Its entry in the platform's store.
        region: Region of its zone.
        notice: What it has said of itself.
        in_flight: Requests of this daemon that it runs or queues now.
        other_requests: Requests of other daemons at the time of the last
            report.
        reported_at: Time of the last report, ``None`` before the first.
        slowness: Smoothed time of its answers against the usual time.
        last_answer_at: Time of the last answer.
        failure_rate: Smoothed share of failed requests, 0 to 1.
        failures: Failures in a row.
        ejected_until: End of its ejection, 0 for none.
        is_unreachable: Whether the last connection to it failed; one request
            at a time may try it again.
        full_until: End of the time in which it is taken to be full.
        cold_until: End of its cold time, 0 for none.
        cold_send_times: Times of this daemon's last sends while it was cold.
        warm_objects: Objects that it has handled for this daemon, the oldest
            first.
        idle_time: Time for which it says that it keeps idle connections,
            ``None`` if it does not say.
    """

    server: ListedServer
    region: str
    notice: Notice = field(factory=Notice)
    in_flight: int = 0
    other_requests: int = 0
    reported_at: Nanoseconds | None = None
    slowness: float = 1
    last_answer_at: Nanoseconds = 0
    failure_rate: float = 0
    failures: int = 0
    ejected_until: Nanoseconds = 0
    is_unreachable: bool = False
    full_until: Nanoseconds = 0
    cold_until: Nanoseconds = 0
    cold_send_times: deque[Nanoseconds] = field(factory=deque)
    warm_objects: dict[str, None] = field(factory=dict)
    idle_time: Nanoseconds | None = None


@define
class TypicalWork:
    """Smoothed times of the answers of a service without a queue.

    Attributes:
        warm: For objects that the server has handled before, nanoseconds.
        cold: For other objects, nanoseconds.
    """

    warm: float
    cold: float


@define
class SpillState:
    """How much of a service's traffic leaves the own region.

    Attributes:
        fraction: Share of the objects whose home is in another region.
        base_fraction: Share that the own region's part of all slots asks for.
        spare_slots: Slots of the other regions beyond their part, by region.
    """

    fraction: float = 0
    base_fraction: float = 0
    spare_slots: dict[str, float] = field(factory=dict)


@define
class PlacementState:
    """All listed backend servers.

    Attributes:
        place: Where this daemon runs.
        regions: Region by zone.
        cold_rate_per_share: Requests a second to one cold server of the own
            region for each share of a daemon, by service.
        holding: Whole shares that this daemon holds.
        servers: Views by server name.
        notices: What servers have said of themselves, by name and time of
            the start.
        usable: Names of the servers that may get work, by service and region.
        evacuated: Zones that get no new work.
        spills: Spill state by service.
        rankings: Order of servers by service, region and object.
        typical_work_times: Usual times of answers by service.
        has_placed_requests: Whether requests have been placed; from then on
            objects change region only step by step.
        policies: The policies in use.
    """

    place: Place
    regions: Mapping[str, str]
    cold_rate_per_share: dict[str, float] = field(factory=dict)
    holding: Holding = field(factory=Holding)
    servers: dict[str, ServerView] = field(factory=dict)
    notices: dict[tuple[str, int], Notice] = field(factory=dict)
    usable: dict[tuple[str, str], tuple[str, ...]] = field(factory=dict)
    evacuated: frozenset[str] = frozenset()
    spills: dict[str, SpillState] = field(factory=dict)
    rankings: dict[tuple[str, str, str], tuple[str, ...]] = field(factory=dict)
    typical_work_times: dict[str, TypicalWork] = field(factory=dict)
    has_placed_requests: bool = False
    policies: Policies = DEFAULT_POLICIES


@frozen
class PlacementRequest:
    """What a request asks of the placement.

    Attributes:
        service: Service name.
        object_name: Object that it concerns; requests of one object go to
            one server.
        regions: Regions that may serve it; ``None`` for all.
        excluded: Names of servers that have had it already.
    """

    service: str
    object_name: str
    regions: frozenset[str] | None = None
    excluded: frozenset[str] = frozenset()


@frozen
class Candidate:
    """A server for a request.

    Attributes:
        view: The server.
        expected_wait: Expected time until the server begins to work on it.
        expected_work: Expected time of the work.
        network_delay: Time on the way to the server and back.
        slot_turnover: Usual time until all its slots have turned over once.
        load: Requests that it runs and queues, as a part of its slots.
    """

    view: ServerView
    expected_wait: Nanoseconds
    expected_work: Nanoseconds
    network_delay: Nanoseconds
    slot_turnover: Nanoseconds = 0
    load: float = 0

    @property
    def expected_latency(self) -> Nanoseconds:
        """Return the expected time until the answer."""
        return self.expected_wait + self.expected_work + self.network_delay
