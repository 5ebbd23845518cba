"""Requests that arrive in the grace period of a planned stop.

Requests in flight are aborted at its end. A request that may not be finished by
then is refused as not run, so that its caller can send it to another daemon.
"""

import asyncio
from typing import Final

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.placement.estimates import slowness, typical_work
from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.state import EdgeState, RequestProgress
from geraniumshelf_daemon.upstream.upload import Upload

# Fraction of the rest of the grace period that a request may be expected to
# take; the rest covers the variance of the work.
_USABLE_FRACTION: Final = 0.6
# Another daemon can serve the request at once.
_RETRY_AFTER_S: Final = 0.05


def fits_in_grace(
    state: EdgeState, choice: Candidate, now: Nanoseconds
) -> bool:
    """Return whether a server responds before a stop aborts its request.

    The object may be cold at the server, whatever this daemon expects.
    """
    if state.abort_at is None:
        return True
    typical = typical_work(state.placement, choice.view.server.service)
    work = max(choice.expected_work, typical.cold * slowness(choice.view, now))
    latency = choice.expected_wait + work + choice.network_delay
    return latency <= _USABLE_FRACTION * (state.abort_at - now)


def may_forward(state: EdgeState, now: Nanoseconds) -> bool:
    """Return whether a request may be forwarded to another daemon.

    How long it takes there is not known, so in a planned stop only those are
    that arrive while the daemon accepts connections.
    """
    return state.accepts_until is None or now < state.accepts_until


def make_stop_refusal(progress: RequestProgress) -> RequestRefused:
    """Return the refusal of a request that comes too late in a stop."""
    return RequestRefused(
        ResultCode.NOT_READY,
        'the daemon is shutting down and cannot finish the request',
        ran=progress.ran,
        retry_after_s=_RETRY_AFTER_S,
    )


async def collect_body(
    state: EdgeState,
    upload: Upload,
    progress: RequestProgress,
    now: Nanoseconds,
) -> None:
    """Receive the whole body of a request before it is sent to a server.

    A server begins the work when the body is complete, which may be too late.
    Does nothing unless the daemon is stopping.

    Raises:
        RequestRefused: ``NOT_READY`` if the body is too long to be kept, or
            incomplete when the daemon aborts its requests.
    """
    if state.abort_at is None:
        return
    time_left = max(0, state.abort_at - now)
    try:
        async with asyncio.timeout(ns_to_seconds(time_left)):
            is_complete = await upload.collect(ns_to_seconds(time_left))
    except TimeoutError as error:
        raise make_stop_refusal(progress) from error
    if not is_complete:
        raise make_stop_refusal(progress)
