"""Status of a daemon, for operators."""

from typing import Any

from geraniumshelf_core.placement.limited_servers import limited_views
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.state import EdgeState


def build_status(
    name: str, state: EdgeState, owners: LimitOwners
) -> dict[str, Any]:
    """Return the status of a daemon as data that can be written as JSON.

    Args:
        name: Name of the daemon.
        state: Its state.
        owners: Daemons that grant the permits for limited servers.
    """
    return {
        'name': name,
        'configuration_version': state.version,
        'server_limits': [
            {
                'server': view.server.name,
                'service': view.server.service,
                'zone': view.server.zone,
                'rate_per_s': view.notice.limit.rate,
                'owner': granters.owner if granters is not None else None,
            }
            for view in limited_views(state.placement)
            for granters in (owners.granters_of(view.server.name),)
        ],
        'spills': {
            service: {
                'fraction': round(spill.fraction, 3),
                'planned': round(spill.planned_fraction, 3),
                'cause': 'demand' if spill.is_by_demand else 'slots',
            }
            for service, spill in state.placement.spills.items()
        },
    }
