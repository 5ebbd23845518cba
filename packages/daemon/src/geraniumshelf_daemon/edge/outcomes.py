"""Evaluates the results of attempts for servers, callers, metrics and logs."""

from random import Random
from typing import Final

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import Outcome
from geraniumshelf_core.placement.estimates import looks_warm
from geraniumshelf_core.placement.rejections import is_partial_rejection
from geraniumshelf_core.placement.speeds import usual_work
from geraniumshelf_core.placement.state import (
    Candidate,
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.log_budget import LogBudget, log_request
from geraniumshelf_daemon.edge.rejections import rejection_delay_s
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.edge.state import RequestProgress
from geraniumshelf_daemon.observability.events import Event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.upstream.progress import AttemptFailed

# Minimum time after which a request that no server ran may be retried; servers
# have completed a few requests by then.
_MIN_RETRY_DELAY_S: Final = 0.2


_FIRST_SERVER_ERROR: Final = 500
_REFUSAL_METRICS: Final = {
    ResultCode.OVERLOADED: Metric.REFUSED_NO_ROOM,
    ResultCode.NO_BACKEND_SERVER: Metric.REFUSED_NO_ROOM,
    ResultCode.RATE_EXCEEDED: Metric.REFUSED_OVER_RATE,
    ResultCode.NOT_READY: Metric.REFUSED_NOT_READY,
}


def failure_outcome(
    failure: AttemptFailed,
    placement: PlacementState,
    view: ServerView,
    now: Nanoseconds,
) -> Outcome:
    """Return the outcome of a failed attempt for its server."""
    load = failure.load
    match failure.code:
        case ResultCode.BACKEND_REFUSED if failure.is_server_failure:
            return Outcome(is_failure=True, is_unreachable=True)
        case ResultCode.BACKEND_REFUSED if (
            load is not None
            and is_partial_rejection(
                placement, view, load.running, load.waiting, now
            )
        ):
            return Outcome(is_partial=True)
        case ResultCode.BACKEND_REFUSED:
            return Outcome(is_shed=True)
        case ResultCode.NO_BACKEND_SERVER:
            return Outcome()
        case _:
            return Outcome(is_failure=True)


def run_outcome(status: int, work: Nanoseconds, object_name: str) -> Outcome:
    """Return the outcome of a request with a response for its server.

    Args:
        status: HTTP status.
        work: Work of the request at the usual speed.
        object_name: Object that the request concerned.
    """
    return Outcome(
        is_failure=status >= _FIRST_SERVER_ERROR,
        work=work,
        object_name=object_name,
    )


def retry_delay_s(progress: RequestProgress, random: Random) -> float | None:
    """Return the delay before a request that did not run may be retried.

    Returns:
        Seconds, with jitter; ``None`` if the request may have run.
    """
    if progress.ran is not Ran.NOT_RUN:
        return None
    return rejection_delay_s(progress, random) or round(
        _MIN_RETRY_DELAY_S + random.random() / 2, 3
    )


def measure_run(
    typical: TypicalWork,
    choice: Candidate,
    elapsed: Nanoseconds,
    now: Nanoseconds,
) -> Nanoseconds:
    """Return the work of a run at the usual speed, and count the run.

    Args:
        typical: Typical work of the service; tells warm from cold runs.
        choice: The server and its speed when it was chosen.
        elapsed: Time from sending the request to its response.
        now: Time of the response.
    """
    work = usual_work(choice, elapsed - choice.network_delay, now)
    is_warm = looks_warm(typical, work)
    count_metric(Metric.RUNS_WARM if is_warm else Metric.RUNS_COLD)
    return work


def count_refusal(code: ResultCode) -> None:
    """Count a refusal, and its cause if there is a metric for it."""
    count_metric(Metric.REQUESTS_REFUSED)
    cause = _REFUSAL_METRICS.get(code)
    if cause is not None:
        count_metric(cause)


def log_refusal(
    budget: LogBudget,
    refusal: RequestRefused,
    progress: RequestProgress,
    now: Nanoseconds,
) -> None:
    """Log the refusal of a request if the budget allows it."""
    request = progress.request
    log_request(
        budget,
        Event.REQUEST_REFUSED,
        refusal.detail,
        now,
        code=refusal.code.name,
        request=request.fields.request_id if request else '',
        ran=refusal.ran.value,
        server=progress.server,
        inputs=progress.inputs,
        retry_after_s=refusal.retry_after_s,
    )


def log_progress(
    budget: LogBudget,
    event: Event,
    detail: str,
    request: RoutedRequest,
    progress: RequestProgress,
    now: Nanoseconds,
) -> None:
    """Log an event of a routed request if the budget allows it."""
    log_request(
        budget,
        event,
        detail,
        now,
        request=request.fields.request_id,
        route=request.route.name,
        service=request.service,
        server=progress.server,
        attempts=progress.attempts,
        age_ms=(now - request.arrived_at) // MILLISECOND_NS,
    )


def make_internal_fault() -> RequestRefused:
    """Return the refusal of a request for an internal error of the daemon."""
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'an internal error occurred while serving the request',
        ran=Ran.UNKNOWN,
    )
