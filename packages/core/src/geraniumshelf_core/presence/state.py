"""Presence of the other daemons, as one daemon knows it from heartbeats."""

from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Assumed age of the last confirmation of the configuration, and of the last
# outage of the store, before this daemon has seen any.
_INITIAL_AGE_S: Final = 3600
INITIAL_AGE_NS: Final[Nanoseconds] = _INITIAL_AGE_S * SECOND_NS


@frozen
class RegisteredInstance:
    """An instance that runs a daemon or did so earlier.

    Attributes:
        zone: Availability zone.
        cores: CPU that the platform grants it, in cores.
    """

    zone: str
    cores: float = 1


@frozen
class PresenceHeartbeat:
    """A heartbeat that daemons send to each other.

    Attributes:
        name: Instance name.
        incarnation: Random number of this run of the daemon.
        sequence: Number of the heartbeat in this run.
        zone: Availability zone.
        ip: IP address.
        front_address: Address to which callers send requests.
        is_ready: Whether it serves callers.
        is_standby: Whether it is able to serve callers but leaves them to the
            entry instances.
        cores: CPU that the platform grants it, in cores.
        rate: Requests per second that callers send to it, smoothed.
        configuration_age: Time since the store last confirmed that its
            configuration is the newest.
        changes: Revision of the last change of each kind that it follows.
        store_era: Era of the store's newest response to it.
        store_available_for: Time for which the store has responded to it often
            enough to notice every outage, 0 if it doesn't now.
        version: Version of the configuration in force there, 0 for none.
        zone_size: Number of daemons of its zone that may be alive, as far as it
            knows.
        next_heartbeat_in: Time until its next heartbeat to the same instance.
        known_ips: IP addresses of some instances that it knows.
    """

    name: str
    incarnation: int
    sequence: int
    zone: str
    ip: str
    front_address: str
    is_ready: bool
    is_standby: bool = False
    cores: float = 1
    rate: float = 0
    configuration_age: Nanoseconds = INITIAL_AGE_NS
    changes: tuple[StoreRevision, ...] = ()
    store_era: int = 0
    store_available_for: Nanoseconds = 0
    version: int = 0
    zone_size: int = 0
    next_heartbeat_in: Nanoseconds = 0
    known_ips: tuple[str, ...] = ()

    @property
    def registered_instance(self) -> RegisteredInstance:
        """Return the daemon as the registry of instances describes it."""
        return RegisteredInstance(self.zone, self.cores)


@frozen
class StoreReport:
    """What a daemon reports to the others about the store.

    Attributes:
        confirmed_at: Time at which the store last confirmed the configuration,
            ``None`` before the first confirmation.
        changes: Revision of the last change of each kind that it follows.
        version: Version of the configuration in force, 0 for none.
        era: Era of the store's newest response.
        store_available_for: Time for which the store has responded often enough
            to notice every outage, 0 if it doesn't now.
    """

    confirmed_at: Nanoseconds | None
    changes: tuple[StoreRevision, ...]
    version: int
    era: int
    store_available_for: Nanoseconds


@define
class RequestRate:
    """Rate of the requests that callers send to this daemon.

    Attributes:
        per_s: Smoothed number per second.
        request_count: Requests since the start, as of the last measurement.
        measured_at: Time of the last measurement.
    """

    per_s: float = 0
    request_count: int = 0
    measured_at: Nanoseconds = 0


@define
class PeerPresence:
    """Presence of another daemon.

    Attributes:
        heartbeat: Its newest heartbeat.
        last_heard_at: Time at which the heartbeat arrived.
        busy_since: Time since which it has been neither ready nor a standby
            because it is loading or leaving, ``None`` if it is one of them.
    """

    heartbeat: PresenceHeartbeat
    last_heard_at: Nanoseconds
    busy_since: Nanoseconds | None = None


@define
class PresenceState:
    """All daemons that this one knows from heartbeats or the registry.

    Attributes:
        own_ip: IP address of this instance.
        peers: The other daemons that send heartbeats, by instance name.
        heartbeat_targets: Name of the instance by each IP address to which
            heartbeats are sent, empty if the name is unknown.
        registered: Every instance that is or was registered, by name.
        zone_sizes: Largest number of daemons that a daemon of the zone has
            reported, by zone.
        is_complete: Whether the registry has been read.
    """

    own_ip: str
    peers: dict[str, PeerPresence] = field(factory=dict)
    heartbeat_targets: dict[str, str] = field(factory=dict)
    registered: dict[str, RegisteredInstance] = field(factory=dict)
    zone_sizes: dict[str, int] = field(factory=dict)
    is_complete: bool = False
