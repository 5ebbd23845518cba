"""State of the configured backend servers, as one daemon sees it."""

from attrs import define, field, frozen

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

SLOW_START_NS: Nanoseconds = 10 * SECOND_NS
EJECTION_NS: Nanoseconds = 10 * SECOND_NS
# The weight of a reported load falls linearly to zero over this time.
REPORT_DECAY_NS: Nanoseconds = 10 * SECOND_NS
AVOIDANCE_NS: Nanoseconds = SECOND_NS
# A single failure is common when a connection is reset; three in a row are not.
FAILURES_TO_EJECT = 3
# A server that sheds a request is full with requests of other daemons. Retries
# without a pause would use up all attempts within a millisecond.
FULL_PAUSE_MS = 50
FULL_PAUSE_NS: Nanoseconds = FULL_PAUSE_MS * MILLISECOND_NS
# At most one in this many servers of a service and region is ejected at once.
EJECTION_DIVISOR = 3


@frozen
class Place:
    """Zone and region of this daemon."""

    zone: str
    region: str


@define
class ServerState:
    """State of one backend server.

    Attributes:
        server: Its entry in the configuration.
        region: Region of its zone.
        in_flight: Requests of this daemon that it runs.
        other_requests: Requests of other daemons at the time of the last
            report.
        reported_at: Time of the last report, ``None`` before the first.
        is_leaving: Whether it announced that it is leaving.
        slow_start_at: Start of its slow start; ``None`` if it has had none.
        ejected_until: End of its ejection, 0 for none.
        is_drained: Whether the drain of its zone is complete and other
            zones of the region offer the service.
        failures: Consecutive failures.
        full_until: Time until which it counts as full because it shed a
            request, 0 for none.
        avoided_until: Time until which other servers are preferred because
            it has just failed or shed a request. Unlike an ejection, this is
            not limited to a fraction of the servers, because the server is
            still used if the others have no free slot.
    """

    server: BackendServer
    region: str
    in_flight: int = 0
    other_requests: int = 0
    reported_at: Nanoseconds | None = None
    is_leaving: bool = False
    slow_start_at: Nanoseconds | None = None
    ejected_until: Nanoseconds = 0
    is_drained: bool = False
    failures: int = 0
    full_until: Nanoseconds = 0
    avoided_until: Nanoseconds = 0


@define
class DispatchState:
    """All backend servers of the configuration in force.

    Attributes:
        place: Zone and region of this daemon.
        servers: States by server name.
        services: Server names by service.
    """

    place: Place
    servers: dict[str, ServerState] = field(factory=dict)
    services: dict[str, tuple[str, ...]] = field(factory=dict)


@define
class RetryBudget:
    """Retry budget that limits retries to a fraction of the requests.

    Attributes:
        tokens: Retries that the budget allows, in hundredths. May be negative
            down to the allowance for low traffic.
    """

    tokens: int = 0
