"""Changes to what a daemon knows of the backend servers."""

from collections.abc import Collection, Iterable, Mapping
from typing import Final

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.dispatch.queries import takes_work
from geraniumshelf_core.dispatch.state import (
    AVOIDANCE_NS,
    EJECTION_DIVISOR,
    EJECTION_NS,
    FAILURES_TO_EJECT,
    FULL_NS,
    DispatchState,
    RetryBudget,
    ServerState,
)
from geraniumshelf_core.units import Nanoseconds

_RETRY_COST: Final = 100
_RETRY_GAIN: Final = 10
# A few retries are allowed even when hardly any requests arrive.
_RETRY_FLOOR: Final = 3 * _RETRY_COST
_RETRY_CEILING: Final = 100 * _RETRY_COST


def replace_servers(
    state: DispatchState,
    servers: Iterable[BackendServer],
    regions: Mapping[str, str],
    now: Nanoseconds,
) -> None:
    """Take over the servers of a revision and keep what is known of them.

    Args:
        state: The state to change.
        servers: Servers of the revision in force.
        regions: Region by zone.
        now: Current time; a server that was added later starts slowly.
    """
    is_first = not state.servers
    known = state.servers
    state.servers = {}
    services: dict[str, list[str]] = {}
    for server in servers:
        region = regions.get(server.zone, '')
        old = known.get(server.name)
        if old is None or old.server.address != server.address:
            since = None if is_first else now
            old = ServerState(server, region, slow_start_at=since)
        old.server = server
        old.region = region
        state.servers[server.name] = old
        services.setdefault(server.service, []).append(server.name)
    state.services = {name: tuple(row) for name, row in services.items()}


def begin_request(server: ServerState) -> None:
    """Count a request that a server begins to run."""
    server.in_flight += 1


def end_request(
    state: DispatchState,
    server: ServerState,
    is_failure: bool,
    now: Nanoseconds,
) -> bool:
    """Count the end of a request; return whether the server was ejected."""
    server.in_flight -= 1
    if not is_failure:
        server.failures = 0
        return False
    server.failures += 1
    if server.failures < FAILURES_TO_EJECT or server.ejected_until > now:
        return False
    return _eject(state, server, now)


def avoid_server(server: ServerState, now: Nanoseconds) -> None:
    """Prefer other servers for a while after a failure or shed load."""
    server.avoided_until = now + AVOIDANCE_NS


def record_report(
    server: ServerState, in_flight: int, is_leaving: bool, now: Nanoseconds
) -> None:
    """Take over the load that a server reported about itself."""
    server.other_requests = max(0, in_flight - server.in_flight)
    server.reported_at = now
    if server.is_leaving and not is_leaving:
        server.slow_start_at = now
    server.is_leaving = is_leaving


def set_drained_zones(
    state: DispatchState,
    service: str,
    zones: Collection[str],
    now: Nanoseconds,
) -> None:
    """Give no new work to the servers of drained zones.

    Servers of a region that has no others for the service stay in use, since
    a drained place serves what still arrives. A server that comes back starts
    slowly.
    """
    servers = [state.servers[name] for name in state.services.get(service, ())]
    served = {
        server.region
        for server in servers
        if server.server.zone not in zones and not server.is_leaving
    }
    for server in servers:
        is_drained = server.server.zone in zones and server.region in served
        if server.is_drained and not is_drained:
            server.slow_start_at = now
        server.is_drained = is_drained


def record_full(server: ServerState, now: Nanoseconds) -> None:
    """Leave a server that shed a request alone for a moment."""
    server.full_until = now + FULL_NS


def earn_retries(budget: RetryBudget) -> None:
    """Count a request; ten of them allow one retry."""
    budget.tokens = min(_RETRY_CEILING, budget.tokens + _RETRY_GAIN)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one retry out of the budget if it allows one."""
    if budget.tokens + _RETRY_FLOOR < _RETRY_COST:
        return False
    budget.tokens -= _RETRY_COST
    return True


def _eject(state: DispatchState, server: ServerState, now: Nanoseconds) -> bool:
    upstream = [
        other
        for name in state.services.get(server.server.service, ())
        if (other := state.servers[name]).region == server.region
        and takes_work(other)
    ]
    ejected = sum(other.ejected_until > now for other in upstream)
    if (ejected + 1) * EJECTION_DIVISOR > len(upstream):
        return False
    server.failures = 0
    server.ejected_until = now + EJECTION_NS
    server.slow_start_at = server.ejected_until
    return True
