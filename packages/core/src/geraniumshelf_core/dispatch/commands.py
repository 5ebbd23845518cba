"""Updates the dispatch state from the configuration, requests and reports."""

from collections.abc import Collection, Iterable, Mapping
from typing import Final

from geraniumshelf_core.configuration.model import BackendServer
from geraniumshelf_core.dispatch.queries import takes_work
from geraniumshelf_core.dispatch.state import (
    AVOIDANCE_NS,
    EJECTION_DIVISOR,
    EJECTION_NS,
    FAILURES_TO_EJECT,
    FULL_PAUSE_NS,
    DispatchState,
    RetryBudget,
    ServerState,
)
from geraniumshelf_core.units import Nanoseconds

# Tokens that a retry costs and that a request adds.
_RETRY_COST: Final = 100
_TOKENS_PER_REQUEST: Final = 10
# The balance may fall this far below zero, so that a few retries are allowed
# even when hardly any requests arrive.
_RETRY_OVERDRAFT: Final = 3 * _RETRY_COST
_MAX_RETRY_TOKENS: Final = 100 * _RETRY_COST


def replace_servers(
    state: DispatchState,
    servers: Iterable[BackendServer],
    regions: Mapping[str, str],
    now: Nanoseconds,
) -> None:
    """Apply the servers of a revision and keep the state of known ones.

    A server that is added after the first revision, or whose address changes,
    begins with a slow start.

    Args:
        state: The state to change.
        servers: Servers of the revision in force.
        regions: Region by zone.
        now: Current time.
    """
    is_first = not state.servers
    known = state.servers
    state.servers = {}
    names_by_service: dict[str, list[str]] = {}
    for server in servers:
        region = regions.get(server.zone, '')
        entry = known.get(server.name)
        if entry is None or entry.server.address != server.address:
            slow_start_at = None if is_first else now
            entry = ServerState(server, region, slow_start_at=slow_start_at)
        entry.server = server
        entry.region = region
        state.servers[server.name] = entry
        names_by_service.setdefault(server.service, []).append(server.name)
    state.services = {
        service: tuple(names) for service, names in names_by_service.items()
    }


def begin_request(server: ServerState) -> None:
    """Record that a request is sent to a server."""
    server.in_flight += 1


def end_request(
    state: DispatchState,
    server: ServerState,
    is_failure: bool,
    now: Nanoseconds,
) -> bool:
    """Record the end of a request; return whether the server was ejected."""
    server.in_flight -= 1
    if not is_failure:
        server.failures = 0
        return False
    server.failures += 1
    if server.failures < FAILURES_TO_EJECT or server.ejected_until > now:
        return False
    return _eject(state, server, now)


def avoid_server(server: ServerState, now: Nanoseconds) -> None:
    """Prefer other servers for a while after a failure or a shed request."""
    server.avoided_until = now + AVOIDANCE_NS


def record_report(
    server: ServerState, in_flight: int, is_leaving: bool, now: Nanoseconds
) -> None:
    """Record the load and the state that a server reported about itself."""
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
    """Send no new work to the servers of drained zones.

    If a region has no other servers of the service, its servers stay in use,
    because a drained region still serves the requests that reach it. A server
    whose drain ends begins with a slow start.
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
    """Send no requests for a short time to a server that shed one."""
    server.full_until = now + FULL_PAUSE_NS


def earn_retries(budget: RetryBudget) -> None:
    """Add tokens for a request; ten requests allow one retry."""
    budget.tokens = min(_MAX_RETRY_TOKENS, budget.tokens + _TOKENS_PER_REQUEST)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one retry from the budget; return whether it allowed one."""
    if budget.tokens + _RETRY_OVERDRAFT < _RETRY_COST:
        return False
    budget.tokens -= _RETRY_COST
    return True


def _eject(state: DispatchState, server: ServerState, now: Nanoseconds) -> bool:
    candidates = [
        other
        for name in state.services.get(server.server.service, ())
        if (other := state.servers[name]).region == server.region
        and takes_work(other)
    ]
    ejected = sum(other.ejected_until > now for other in candidates)
    if (ejected + 1) * EJECTION_DIVISOR > len(candidates):
        return False
    server.failures = 0
    server.ejected_until = now + EJECTION_NS
    server.slow_start_at = server.ejected_until
    return True
