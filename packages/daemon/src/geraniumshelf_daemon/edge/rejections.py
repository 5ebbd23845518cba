"""Applies the end of an attempt, and what it tells of rejections."""

from random import Random

from geraniumshelf_core.errors import Ran
from geraniumshelf_core.placement.commands import (
    Outcome,
    end_request,
    record_report,
)
from geraniumshelf_core.placement.rejections import (
    rejection_delay,
    update_rejecting,
)
from geraniumshelf_core.placement.state import PlacementState, ServerView
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.interface import ReportedLoad
from geraniumshelf_daemon.edge.state import RequestProgress
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric


def end_attempt(
    placement: PlacementState,
    view: ServerView,
    outcome: Outcome,
    load: ReportedLoad | None,
    now: Nanoseconds,
) -> None:
    """Record the end of an attempt and the load that the server reported."""
    if end_request(placement, view, outcome, now):
        log_event(Event.BACKEND_EJECTED, view.server.name)
    is_counted = outcome.work or placement.policies.counts_rejections
    if load is not None and is_counted:
        record_report(view, load.running, load.waiting, now)
    if outcome.is_shed:
        count_metric(Metric.REJECTIONS_FULL)
    if outcome.is_partial:
        count_metric(Metric.REJECTIONS_PARTIAL)
    for change in update_rejecting(placement, view, now):
        log_event(
            Event.BACKEND_REJECTING
            if change.is_rejecting
            else Event.BACKEND_ACCEPTING,
            change.name,
            scope='service' if change.is_service else 'server',
            rate=round(change.rate, 2),
        )


def rejection_delay_s(
    progress: RequestProgress, random: Random
) -> float | None:
    """Return the delay after which a rejected request may be retried.

    Returns:
        Seconds, with jitter; ``None`` if all servers that rejected the request
        were full, or if it may have run.
    """
    if not progress.was_rejected_partially or progress.ran is not Ran.NOT_RUN:
        return None
    return round(ns_to_seconds(rejection_delay(random.random())), 3)
