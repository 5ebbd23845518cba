"""Settings that the platform hands to an edge daemon."""

from collections.abc import Mapping
from typing import Final

from attrs import field, frozen

from geraniumshelf_core.policies import DEFAULT_POLICIES, Policies
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Upper bound on the time that a request takes from one daemon through another
# one to a backend server.
_FORWARDING_MS: Final = 500
_FORWARDING_NS: Final[Nanoseconds] = _FORWARDING_MS * MILLISECOND_NS
# The interval that the operators of all deployments set.
_DEFAULT_SERVER_HEARTBEAT_MS: Final = 1500
DEFAULT_SERVER_HEARTBEAT_NS: Final[Nanoseconds] = (
    _DEFAULT_SERVER_HEARTBEAT_MS * MILLISECOND_NS
)


@frozen
class OperatorBounds:
    """Limits that the operators of the platform set under ``bounds``.

    Attributes:
        contact_time: Time after a fault within which an instance must have
            reconnected.
        apply_time: Time from the store's acknowledgement of a configuration
            until it is in force.
        grace_period: Time from SIGTERM to SIGKILL.
        retry_ratio: Retries allowed for each request to a service.
        retry_slack: Retries allowed beyond the ratio in each retry window.
        retry_window: Length of the retry window.
        quota_overshoot: Fraction of an account's rate allowed beyond it.
        quota_slack: Requests allowed beyond an account's burst in each quota
            window.
        quota_window: Length of the quota window.
        cold_overshoot: Factor on the rate of a cold server.
        cold_slack: Requests a second that a cold server may get beyond that.
        max_ttl: Longest time that callers cache a directory response.
        max_shift: Largest fraction of a region's requests that may change
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
        """Return the age up to which a confirmed configuration is current.

        A daemon forwards requests to an entry instance only if the
        configuration there was confirmed within this time.
        """
        return self.apply_time - _FORWARDING_NS


@frozen
class EdgeSettings:
    """Where a daemon runs and the addresses it listens on.

    Attributes:
        name: Name of the instance.
        zone: Availability zone of the instance.
        regions: Region by availability zone.
        ip: IP address of the instance.
        cores: Processor time that the platform gives the instance, in cores.
        front_address: Address for requests of callers.
        ready_address: Address for readiness checks of the platform.
        directory_address: Address for look-ups of entry instances; empty
            disables them.
        peer_port: UDP port for messages of other daemons.
        seeds: IP addresses of instances that may know the others.
        metrics_address: Address for metrics collectors; empty disables it.
        store_address: Address of the platform's store.
        bounds: Limits set by the operators.
        memory_bytes: Memory of the instance, 0 if not stated.
        max_descriptors: Descriptors that the daemon may open, 0 if not stated.
        policies: The policies in use.
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
    bounds: OperatorBounds = field(repr=False)
    memory_bytes: int = 0
    max_descriptors: int = 0
    policies: Policies = DEFAULT_POLICIES

    @property
    def region(self) -> str:
        """Return the region of the instance."""
        return self.regions[self.zone]
