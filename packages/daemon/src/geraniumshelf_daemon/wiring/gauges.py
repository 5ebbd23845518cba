"""Gauges of a daemon, set at regular intervals."""

from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.front.assembly import DataPath
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import gauge_metric
from geraniumshelf_daemon.wiring.control_plane import ControlPlane


def set_gauges(
    control: ControlPlane, data_path: DataPath, now: Nanoseconds
) -> None:
    """Set all gauges to the current state.

    Args:
        control: Control plane of the daemon.
        data_path: Data path of the daemon.
        now: Current time, nanoseconds.
    """
    servers = data_path.dispatcher.state.servers.values()
    in_use = sum(server.in_flight for server in servers)
    ejected = sum(server.ejected_until > now for server in servers)
    gauge_metric(Metric.REQUESTS_IN_FLIGHT, data_path.front.running_count)
    gauge_metric(
        Metric.UPSTREAM_CONNECTIONS, in_use + data_path.pool.total_idle()
    )
    gauge_metric(Metric.BACKENDS_EJECTED, ejected)
    gauge_metric(Metric.PEERS_CONNECTED, len(control.links.connected_peers()))
    gauge_metric(Metric.CONFIGURATION_REVISION, control.holder.revision)
