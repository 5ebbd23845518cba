"""Hands over the body of a request and the response to it."""

import asyncio
from typing import Final

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_core.units import SECOND_NS, Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.attempt import ServerAttempt, ServerResponse
from geraniumshelf_daemon.edge.forwarded_request import ForwardedRequest
from geraniumshelf_daemon.edge.outcomes import count_refusal, log_refusal
from geraniumshelf_daemon.edge.state import EdgeState, RequestProgress
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import relayed_headers
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.response_delegate import ResponseHead
from geraniumshelf_daemon.upstream.upload import Upload

# Extends the deadline: callers may read slowly, no server may send forever.
_DELIVERY_S: Final = 30
_DELIVERY_NS: Final[Nanoseconds] = _DELIVERY_S * SECOND_NS


def make_upload(caller: Caller, pacer: LinkPacer) -> Upload:
    """Return the body of a request, whose copy the caller is charged for."""
    return Upload(
        caller.body, pacer, has_body=caller.has_body, hold=caller.charge.hold
    )


async def relay_response(
    caller: Caller,
    attempt: ServerAttempt,
    response: ServerResponse,
    deadline: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Relay a response, chunk by chunk if it has not been read completely.

    If the server cuts the response short, the caller's connection is closed, so
    that the response does not look complete.

    Args:
        caller: The request.
        attempt: The exchange with the server.
        response: The response, as far as it has been read.
        deadline: Deadline of the request; also bounds the rest of its body.
        now: Current time.
    """
    headers = relayed_headers(response.headers)
    if response.is_complete and caller.method != 'HEAD':
        headers['Content-Length'] = str(len(response.body))
    head = response.status, response.reason, headers
    async with _delivery_timeout(deadline, now):
        await caller.response_writer.begin(*head, response.body or None)
        await _relay_rest(caller, attempt, deadline - now)


async def relay_forwarded(
    caller: Caller,
    request: ForwardedRequest,
    head: ResponseHead,
    deadline: Nanoseconds,
    now: Nanoseconds,
) -> None:
    """Relay the response of another daemon, chunk by chunk.

    Args:
        caller: The request.
        request: The exchange with the other daemon.
        head: Head of its response.
        deadline: Deadline of the request; also bounds the rest of its body.
        now: Current time.
    """
    status, reason, headers = head
    headers = relayed_headers(headers, is_from_daemon=True)
    async with _delivery_timeout(deadline, now):
        await caller.response_writer.begin(status, reason, headers)
        await _relay_rest(caller, request, deadline - now)


async def refuse_caller(
    state: EdgeState,
    caller: Caller,
    progress: RequestProgress,
    refusal: RequestRefused,
    now: Nanoseconds,
) -> None:
    """Send a refusal, or disconnect if a response has begun."""
    if caller.response_writer.has_begun:
        caller.response_writer.abort()
        return
    count_refusal(refusal.code)
    log_refusal(state.log_budget, refusal, progress, now)
    try:
        await caller.response_writer.refuse(refusal)
    except OSError:
        caller.response_writer.abort()


async def _relay_rest(
    caller: Caller,
    source: ServerAttempt | ForwardedRequest,
    time_left: Nanoseconds,
) -> None:
    while chunk := await source.next_chunk():
        await caller.response_writer.write(chunk)
    await source.finish_upload(ns_to_seconds(max(0, time_left)))
    await caller.response_writer.end()


def _delivery_timeout(
    deadline: Nanoseconds, now: Nanoseconds
) -> asyncio.Timeout:
    time_left = max(0, deadline - now) + _DELIVERY_NS
    return asyncio.timeout(ns_to_seconds(time_left))
