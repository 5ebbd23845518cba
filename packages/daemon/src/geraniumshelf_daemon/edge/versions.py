"""Reports the configuration version here and the newest one elsewhere."""

from geraniumshelf_core.presence.state import PresenceState
from geraniumshelf_core.presence.versions import compare_versions
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import gauge_metric


def report_versions(
    state: EdgeState, presence: PresenceState, now: Nanoseconds
) -> None:
    """Update the versions known from other daemons and set the gauges."""
    versions = state.versions
    compare_versions(
        versions, presence, state.version, now, is_loaded=state.is_loaded
    )
    since = versions.behind_since
    gauge_metric(Metric.CONFIGURATION_REVISION, state.version)
    gauge_metric(Metric.CONFIGURATION_NEWEST, versions.newest_version)
    gauge_metric(
        Metric.CONFIGURATION_BEHIND,
        0 if since is None else ns_to_seconds(now - since),
    )
