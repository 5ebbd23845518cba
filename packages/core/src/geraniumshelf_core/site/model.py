"""Configuration of a site and backend servers in the platform's store."""

from collections.abc import Mapping
from enum import Enum, unique

from attrs import field, frozen

from geraniumshelf_core.units import Nanoseconds


@unique
class Repeatability(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at-most-once'


@frozen
class Destination:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@frozen
class SiteRoute:
    """A path prefix of a host.

    Attributes:
        name: Route name.
        prefix: Path prefix that begins and ends with a slash.
        repeatability: Whether its requests may run more than once.
        timeout: Maximum time that a caller waits for a response.
        target_latency: Latency up to which a response counts as on time.
        max_attempts: Maximum number of backend servers to which one request is
            sent.
        priority: Priority of its requests, 0 is the highest.
        destinations: Services that share its requests.
        regions: Regions that may serve it; empty for all.
        is_open: Whether requests need no key.
        has_affinity: Whether a server that has recently handled the same
            object responds faster.
    """

    name: str
    prefix: str
    repeatability: Repeatability
    timeout: Nanoseconds
    target_latency: Nanoseconds
    max_attempts: int
    priority: int
    destinations: tuple[Destination, ...]
    regions: frozenset[str] = frozenset()
    is_open: bool = False
    has_affinity: bool = False


@frozen
class SiteAccount:
    """A client account.

    Attributes:
        name: Account name, which is passed to backend servers.
        keys: Its keys.
        rate: Requests per second over all daemons; 0 for no limit.
        burst: Requests that may come at once in addition to the rate.
        priority: Priority that overrides that of the route; ``None`` for none.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    rate: float = 0
    burst: float = 0
    priority: int | None = None
    regions: frozenset[str] = frozenset()


@frozen
class SiteService:
    """A service as the operator declares it.

    Attributes:
        name: Service name.
        health_path: Path of the health check.
        connection_limit: Maximum connections to each server.
        cold_time: Time for which a server is cold after its start.
        cold_rate: Requests per second that a cold server can handle.
    """

    name: str
    health_path: str
    connection_limit: int
    cold_time: Nanoseconds
    cold_rate: float


@frozen
class CallerLimits:
    """Limits on the requests and connections of a caller.

    Attributes:
        max_header_bytes: Maximum size of the head of a request.
        max_body_bytes: Maximum size of the body of a request.
        idle_timeout: Maximum time that a connection may be idle.
        header_timeout: Maximum time for the head of a request, 0 if not stated.
    """

    max_header_bytes: int
    max_body_bytes: int
    idle_timeout: Nanoseconds
    header_timeout: Nanoseconds = 0


@frozen
class SiteConfiguration:
    """One version of the configuration that the operator declares.

    Attributes:
        version: Number that grows with each change.
        hosts: Routes by host name in lower case.
        services: Services by name.
        accounts: Client accounts by name.
        limits: Limits on callers.
    """

    version: int
    hosts: Mapping[str, tuple[SiteRoute, ...]]
    services: Mapping[str, SiteService]
    accounts: Mapping[str, SiteAccount]
    limits: CallerLimits


@frozen
class ListedServer:
    """A backend server as it describes itself in the platform's store.

    Attributes:
        name: Identifier of the running server; a restarted server usually has
            another one.
        service: Service that it runs.
        address: IP address and port.
        zone: Availability zone.
        slots: Maximum number of concurrent requests.
        is_draining: Whether it is about to leave.
        cold_left: Remaining time for which it is cold.
        started_at_ms: Unix time of its start, milliseconds; 0 if unknown.
        sequence: Number of the last heartbeat before the entry was written.
    """

    name: str
    service: str
    address: str
    zone: str
    slots: int
    is_draining: bool = False
    cold_left: Nanoseconds = 0
    started_at_ms: int = 0
    sequence: int = 0
