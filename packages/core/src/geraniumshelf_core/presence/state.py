"""What one daemon knows of the others by their heartbeats."""

from typing import Final

from attrs import define, field, frozen

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# Age of a configuration that was never confirmed.
_LONG_AGO_S: Final = 3600
LONG_AGO_NS: Final[Nanoseconds] = _LONG_AGO_S * SECOND_NS


@frozen
class RegisteredInstance:
    """An instance that runs, or once ran, a daemon.

    Attributes:
        zone: Availability zone.
        cores: Processor that its platform gives it, in cores.
    """

    zone: str
    cores: float = 1


@frozen
class PresenceHeartbeat:
    """A sign of life of a daemon.

    Attributes:
        name: Instance name.
        incarnation: Random number of this run of the daemon.
        sequence: Number of the beat in this run.
        zone: Availability zone.
        ip: IP address.
        front_address: Where callers send requests.
        is_ready: Whether it takes callers.
        is_standby: Whether it takes none because others do, and would.
        cores: Processor that its platform gives it, in cores.
        rate: Requests a second that callers send to it, smoothed.
        configuration_age: Time since the store last confirmed that its
            configuration is the newest.
        changes: Revision of the last change of each kind that it follows.
        store_era: Era of the store's newest answer to it.
        store_available_for: Time for which the store has answered it so often
            that
            no outage went unnoticed, 0 if it does not now.
        version: Version of the configuration in force there, 0 for none.
        zone_size: Daemons of its zone that may be alive, as it knows.
        next_heartbeat_in: Time until its next beat to the same instance.
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
    configuration_age: Nanoseconds = LONG_AGO_NS
    changes: tuple[StoreRevision, ...] = ()
    store_era: int = 0
    store_available_for: Nanoseconds = 0
    version: int = 0
    zone_size: int = 0
    next_heartbeat_in: Nanoseconds = 0
    known_ips: tuple[str, ...] = ()

    @property
    def registered_instance(self) -> RegisteredInstance:
        """Return what the registry holds of the daemon."""
        return RegisteredInstance(self.zone, self.cores)


@frozen
class StoreReport:
    """What a daemon tells the others of the store.

    Attributes:
        confirmed_at: Time at which the store last confirmed the configuration,
            ``None`` before.
        changes: Revision of the last change of each kind that it follows.
        version: Version of the configuration in force, 0 for none.
        era: Era of the store's newest answer.
        store_available_for: Time for which the store has answered so often that
            no
            outage went unnoticed, 0 if it does not now.
    """

    confirmed_at: Nanoseconds | None
    changes: tuple[StoreRevision, ...]
    version: int
    era: int
    store_available_for: Nanoseconds


@define
class RequestRate:
    """Requests that callers send to this daemon.

    Attributes:
        per_s: Smoothed number in a second.
        counted: Requests since the start, as of the last measurement.
        measured_at: Time of the last measurement.
    """

    per_s: float = 0
    counted: int = 0
    measured_at: Nanoseconds = 0


@define
class PeerPresence:
    """Another daemon.

    Attributes:
        heartbeat: Its newest beat.
        last_heard_at: Time of the beat.
        busy_since: Time since which it has been neither ready nor a standby:
            it loads or leaves.
    """

    heartbeat: PresenceHeartbeat
    last_heard_at: Nanoseconds
    busy_since: Nanoseconds | None = None


@define
class PresenceState:
    """All daemons that this one has heard or read of.

    Attributes:
        own_ip: IP address of this instance.
        peers: The others by instance name.
        heartbeat_targets: IP addresses to send beats to, with the name of the
            instance if it is known.
        registered: Every instance that is or was registered, by name.
        zone_sizes: Most daemons that one of a zone has told of, by zone.
        is_complete: Whether the registry has been read.
    """

    own_ip: str
    peers: dict[str, PeerPresence] = field(factory=dict)
    heartbeat_targets: dict[str, str] = field(factory=dict)
    registered: dict[str, RegisteredInstance] = field(factory=dict)
    zone_sizes: dict[str, int] = field(factory=dict)
    is_complete: bool = False
