"""Settings of a daemon whose platform tells it where it runs."""

from collections.abc import Mapping
from typing import Final

from attrs import field, frozen

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# A request takes less than this from one daemon through another to a server.
_TELLING_MS: Final = 500
_TELLING_NS: Final[Nanoseconds] = _TELLING_MS * MILLISECOND_NS
# What the operators of all deployments set.
_USUAL_HEARTBEAT_MS: Final = 1500
DEFAULT_SERVER_HEARTBEAT_NS: Final[Nanoseconds] = (
    _USUAL_HEARTBEAT_MS * MILLISECOND_NS
)


@frozen
class EdgeBounds:
    """Bounds that the operators of the platform set.

    Attributes:
        contact_time: Time after a fault within which an instance is back in
            touch.
        apply_time: Time from the store's acknowledgement of a configuration
            until it is in force.
        grace_period: Time from SIGTERM to SIGKILL.
        retry_ratio: Repeats allowed for each request to a service.
        retry_slack: Repeats allowed beyond, in a window.
        retry_window: Length of that window.
        quota_overshoot: Part of an account's rate allowed beyond it.
        quota_slack: Requests allowed beyond an account's burst in a window.
        quota_window: Length of that window.
        cold_overshoot: Factor on the rate of a cold server.
        cold_slack: Requests allowed beyond it in a second.
        max_ttl: Longest time that callers keep a directory answer.
        max_shift: Largest share of a region's requests that may change
            region within two seconds.
        server_heartbeat_interval: Time between two heartbeats of a backend
            server.
    """

    contact_time: Nanoseconds
    apply_time: Nanoseconds
    grace_period: Nanoseconds
    retry_ratio: float
    retry_slack: float
    retry_window: Nanoseconds
    quota_overshoot: float
    quota_slack: float
    quota_window: Nanoseconds
    cold_overshoot: float
    cold_slack: float
    max_ttl: Nanoseconds
    max_shift: float
    server_heartbeat_interval: Nanoseconds = DEFAULT_SERVER_HEARTBEAT_NS

    @property
    def max_configuration_age(self) -> Nanoseconds:
        """Return the age up to which a confirmed configuration is in force.

        A daemon passes connections to another one up to that age.
        """
        return self.apply_time - _TELLING_NS


@frozen
class EdgeSettings:
    """Where a daemon runs and what it listens at.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        regions: Region by availability zone.
        ip: IP address of the instance.
        cores: Processor that the platform gives the instance, in cores.
        front_address: Where callers send requests.
        ready_address: Where the platform asks whether the daemon is ready.
        directory_address: Where callers ask for entry instances; empty if
            they don't.
        peer_port: Port for heartbeats of other daemons.
        seeds: IP addresses of instances that may know the others.
        metrics_address: Where a collector asks for metrics; empty if none
            does.
        store_address: Address of the platform's store.
        bounds: Bounds that hold there.
    """

    name: str
    zone: str
    regions: Mapping[str, str]
    ip: str
    cores: float
    front_address: str
    ready_address: str
    directory_address: str
    peer_port: int
    seeds: tuple[str, ...]
    metrics_address: str
    store_address: str
    bounds: EdgeBounds = field(repr=False)

    @property
    def region(self) -> str:
        """Return the region of the instance."""
        return self.regions[self.zone]
