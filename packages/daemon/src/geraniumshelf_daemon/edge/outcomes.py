"""What a failed attempt means for its server and its caller."""

from random import Random
from typing import Final

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import Outcome
from geraniumshelf_daemon.upstream.progress import AttemptFailed

# A request that a server did not run may come back after this time; a few
# requests have ended by then.
_LEAST_RETURN_S: Final = 0.2


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


def time_to_return(ran: Ran, random: Random) -> float | None:
    """Return when a request that did not run may come back, seconds."""
    if ran is not Ran.NOT_RUN:
        return None
    return round(_LEAST_RETURN_S + random.random() / 2, 3)


def internal_fault() -> RequestRefused:
    """Return the refusal of a request that the daemon failed to serve."""
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'the daemon failed while serving the request',
        ran=Ran.UNKNOWN,
    )
