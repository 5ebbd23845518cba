"""Immutable data classes of a validated configuration."""

from enum import Enum, unique

from attrs import field, frozen


@unique
class CutOffPolicy(Enum):
    """How a zone treats requests with keys while no withdrawal can reach it."""

    REFUSE = 'refuse'
    SERVE = 'serve'


@frozen
class ShiftCap:
    """A limit on how much traffic of a service is shifted at a time.

    Attributes:
        share_ppm: Share of the service's traffic per step, parts per million.
        step_s: Minimum time between two steps, seconds.
    """

    share_ppm: int
    step_s: int


@frozen
class Route:
    """A path prefix of a service and the rules for its requests.

    Attributes:
        prefix: Path below the service, beginning with a slash.
        methods: Allowed HTTP methods.
        is_open: Whether requests need no key.
        is_idempotent: Whether a request may be retried.
        may_wait: Whether its requests may be deferred in favour of others.
    """

    prefix: str
    methods: tuple[str, ...]
    is_open: bool = False
    is_idempotent: bool = True
    may_wait: bool = False


@frozen
class Service:
    """A service that backend servers offer.

    Attributes:
        name: Name, the first segment of request paths.
        routes: Routes; the longest matching prefix wins.
        shift_cap: Limit on the traffic that is shifted per step.
        lookup_ttl_s: Time that callers may cache a look-up response, seconds.
        link_weight: Relative weight of its traffic on links between regions.
        progress_timeout_ms: Time without progress after which a connection to
            a backend server is considered silent, milliseconds.
    """

    name: str
    routes: tuple[Route, ...]
    shift_cap: ShiftCap
    lookup_ttl_s: int = 5
    link_weight: int = 1
    progress_timeout_ms: int = 5000


@frozen
class Region:
    """A region."""

    name: str


@frozen
class Zone:
    """An availability zone.

    Attributes:
        name: Name, unique over all regions.
        region: Name of its region.
        slots: Number of entry instances that may hold allowances.
    """

    name: str
    region: str
    slots: int


@frozen
class BackendServer:
    """A backend server of one service.

    Attributes:
        name: Unique name.
        service: Name of its service.
        zone: Name of its availability zone.
        address: IP address and port, ``10.0.0.1:8080``.
        slots: Maximum number of concurrent requests.
        connections: Maximum number of connections from all daemons together.
    """

    name: str
    service: str
    zone: str
    address: str
    slots: int
    connections: int


@frozen
class Link:
    """A link between two regions with equal properties in both directions.

    Attributes:
        regions: The two region names in alphabetical order.
        mbit_per_s: Bandwidth in each direction, Mbit/s.
        one_way_ms: One-way delay, milliseconds.
    """

    regions: tuple[str, str]
    mbit_per_s: int
    one_way_ms: int


@frozen
class ClientAccount:
    """A client account and its limits over the whole fleet.

    Attributes:
        name: Unique name.
        rate_per_s: Rate limit, requests per second.
        burst: Burst limit, requests.
        cut_off: Policy of a zone while no withdrawal can reach it.
    """

    name: str
    rate_per_s: int
    burst: int
    cut_off: CutOffPolicy = CutOffPolicy.REFUSE


@frozen
class Key:
    """A key of a client account, known by its digest only.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        account: Name of the client account.
        label: Name by which operators withdraw it.
    """

    digest: str
    account: str
    label: str


@frozen
class WithdrawnKey:
    """A key that was withdrawn and must never be accepted again.

    Attributes:
        digest: SHA-256 of the key, hexadecimal.
        label: Label that it had before it was withdrawn.
    """

    digest: str
    label: str


@frozen
class TrafficWeight:
    """The configured share of a source region's traffic for a destination.

    Attributes:
        service: Service name.
        source: Region of the clients.
        destination: Region that serves them.
        share_ppm: Share of the traffic, parts per million; the shares of a
            service and source add up to a million.
        failover_ppm: Share that may spill to the destination without a plan
            step, parts per million.
    """

    service: str
    source: str
    destination: str
    share_ppm: int
    failover_ppm: int = 0


@frozen
class ClientBlock:
    """A block of client addresses and the region nearest to it.

    Attributes:
        network: IPv4 network, ``10.1.0.0/16``.
        region: Region name.
    """

    network: str
    region: str


@frozen
class Configuration:
    """The configuration that operators declare.

    Attributes:
        deployment: Name of the deployment.
        drained: Names of regions and zones that are being drained.
        slot_hold_s: Time after which an unchanged slot claim may be taken
            over by another address, seconds.
        withdrawn: Keys withdrawn by command; no file can restore them.
        lowered: Client accounts whose limits were lowered by command; no
            file can raise them.
    """

    deployment: str
    services: tuple[Service, ...] = ()
    regions: tuple[Region, ...] = ()
    zones: tuple[Zone, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    links: tuple[Link, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    keys: tuple[Key, ...] = field(default=(), repr=False)
    weights: tuple[TrafficWeight, ...] = ()
    blocks: tuple[ClientBlock, ...] = ()
    drained: tuple[str, ...] = ()
    slot_hold_s: int = 86_400
    withdrawn: tuple[WithdrawnKey, ...] = field(default=(), repr=False)
    lowered: tuple[str, ...] = ()
