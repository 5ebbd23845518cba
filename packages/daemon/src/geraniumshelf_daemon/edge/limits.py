"""Divides the limits of a configuration among the daemons of the fleet."""

from geraniumshelf_core.placement.commands import set_initial_work
from geraniumshelf_core.presence.queries import fleet_size, region_size
from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.shares.division import cold_limit
from geraniumshelf_core.shares.quotas import divide_quotas
from geraniumshelf_core.shares.retries import divide_slack
from geraniumshelf_core.site.model import SiteConfiguration
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.state import EdgeState


def count_daemons(
    presence: PresenceState, settings: EdgeSettings
) -> tuple[int, int]:
    """Return how many daemons may be alive, in total and in the own region."""
    region_daemons = region_size(presence, settings.region, settings.regions)
    return fleet_size(presence), region_daemons


def _max_target_latencies(
    configuration: SiteConfiguration,
) -> dict[str, Nanoseconds]:
    """Return the maximum target latency of the routes to each service."""
    latencies: dict[str, Nanoseconds] = {}
    for routes in configuration.hosts.values():
        for route in routes:
            for destination in route.destinations:
                name = destination.service
                target = max(latencies.get(name, 0), route.target_latency)
                latencies[name] = target
    return latencies


def divide_limits(
    state: EdgeState,
    presence: PresenceState,
    settings: EdgeSettings,
    configuration: SiteConfiguration,
    now: Nanoseconds,
) -> None:
    """Apply the limits of a configuration for the current fleet size."""
    bounds = settings.bounds
    daemons, region_daemons = count_daemons(presence, settings)
    accounts = configuration.accounts.values()
    divide_quotas(state.quotas, accounts, daemons, now)
    divide_slack(state.retries, daemons, now)
    for name, target in _max_target_latencies(configuration).items():
        set_initial_work(state.placement, name, target)
    for service in configuration.services.values():
        limit = cold_limit(
            service.cold_rate, bounds.cold_overshoot, bounds.cold_slack
        )
        state.placement.cold_rate_per_share[service.name] = (
            limit / region_daemons
        )
