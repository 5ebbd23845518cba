"""What a failed attempt means for its server and its caller."""

from random import Random
from typing import Final

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import Outcome
from geraniumshelf_core.placement.queries import looks_warm
from geraniumshelf_core.placement.state import TypicalWork
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.upstream.progress import AttemptFailed

# A request that a server did not run may come back after this time; a few
# requests have ended by then.
_LEAST_RETURN_S: Final = 0.2


_FIRST_SERVER_ERROR: Final = 500
_CAUSES: Final = {
    ResultCode.OVERLOADED: Metric.REFUSED_NO_ROOM,
    ResultCode.NO_BACKEND_SERVER: Metric.REFUSED_NO_ROOM,
    ResultCode.RATE_EXCEEDED: Metric.REFUSED_OVER_RATE,
    ResultCode.NOT_READY: Metric.REFUSED_NOT_READY,
}


def outcome_of(failure: AttemptFailed) -> Outcome:
    """Return what a failed attempt tells of its server."""
    match failure.code:
        case ResultCode.BACKEND_REFUSED if failure.is_failure:
            return Outcome(is_failure=True, is_unreachable=True)
        case ResultCode.BACKEND_REFUSED:
            return Outcome(is_shed=True)
        case ResultCode.NO_BACKEND_SERVER:
            return Outcome()
        case _:
            return Outcome(is_failure=True)


def outcome_of_answer(
    status: int, work: Nanoseconds, object_name: str
) -> Outcome:
    """Return what an answer tells of its server.

    Args:
        status: HTTP status.
        work: Time until the answer, without the way.
        object_name: Object that the request concerned.
    """
    return Outcome(
        is_failure=status >= _FIRST_SERVER_ERROR,
        work=work,
        object_name=object_name,
    )


def time_to_return(ran: Ran, random: Random) -> float | None:
    """Return when a request that did not run may come back, seconds."""
    if ran is not Ran.NOT_RUN:
        return None
    return round(_LEAST_RETURN_S + random.random() / 2, 3)


def count_run(usual: TypicalWork, work: Nanoseconds) -> None:
    """Count an answer by what its time tells of its object."""
    is_warm = looks_warm(usual, work)
    count_metric(Metric.RUNS_WARM if is_warm else Metric.RUNS_COLD)


def count_refusal(code: ResultCode) -> None:
    """Count a refusal, and its cause if it is one of the usual ones."""
    count_metric(Metric.REQUESTS_REFUSED)
    cause = _CAUSES.get(code)
    if cause is not None:
        count_metric(cause)


def internal_fault() -> RequestRefused:
    """Return the refusal of a request that the daemon failed to serve."""
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'the daemon failed while serving the request',
        ran=Ran.UNKNOWN,
    )
