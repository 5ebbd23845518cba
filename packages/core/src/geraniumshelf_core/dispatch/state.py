"""What one daemon knows of the backend servers."""

from attrs import define, field, frozen

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

SLOW_START_NS: Nanoseconds = 10 * SECOND_NS
EJECTION_NS: Nanoseconds = 10 * SECOND_NS
# A reported load counts less the older it is, and not at all after this time.
REPORT_LIFE_NS: Nanoseconds = 10 * SECOND_NS
AVOIDANCE_NS: Nanoseconds = SECOND_NS
# One failure is common when a connection is reset; three in a row are not.
FAILURES_TO_EJECT = 3
# A server that sheds a request is full with requests of other daemons; asking
# again at once would spend all attempts within a millisecond.
FULL_MS = 50
FULL_NS: Nanoseconds = FULL_MS * MILLISECOND_NS
EJECTION_DIVISOR = 3


@frozen
class Place:
    """Where this daemon runs."""

    zone: str
    region: str


@define
class ServerState:
    """What is known of one backend server.

    Attributes:
        region: Region of its zone.
        in_flight: Requests of this daemon that it runs now.
        other_requests: Requests of other daemons at the time of the last
            report.
        reported_at: Time of the last report, ``None`` before the first.
        is_leaving: Whether it said that it is leaving.
        slow_start_at: Start of its slow start; ``None`` for long ago.
        ejected_until: End of its ejection, 0 for none.
        is_drained: Whether the drain of its zone is complete and other
            zones of the region offer the service.
        failures: Failures in a row.
        full_until: End of the time in which it is taken to be full because
            it shed a request, 0 for none.
        avoided_until: Time until which other servers are preferred, because
            it has just failed or shed a request; unlike an ejection this
            needs no bound, as it is still used when others have no slot.
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
    """All backend servers of the configuration in force by service.

    Attributes:
        place: Where this daemon runs.
        servers: States by server name.
        services: Server names by service.
    """

    place: Place
    servers: dict[str, ServerState] = field(factory=dict)
    services: dict[str, tuple[str, ...]] = field(factory=dict)


@define
class RetryBudget:
    """Allows retries in proportion to requests.

    Attributes:
        tokens: Retries allowed now, in hundredths.
    """

    tokens: int = 0
