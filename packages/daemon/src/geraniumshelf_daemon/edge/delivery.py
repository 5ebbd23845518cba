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


def delivery_timeout(
    deadline: Nanoseconds, now: Nanoseconds
) -> asyncio.Timeout:
    """Return the timeout of the delivery of a response.

    Args:
        deadline: Deadline of the request.
        now: Current time.
    """
    time_left = max(0, deadline - now) + _DELIVERY_NS
    return asyncio.timeout(ns_to_seconds(time_left))


async def relay_response(
    caller: Caller, attempt: ServerAttempt, response: ServerResponse
) -> None:
    """Relay a response, chunk by chunk if it has not been read completely.

    If the server cuts the response short, the caller's connection is closed, so
    that the response does not look complete.
    """
    headers = relayed_headers(response.headers)
    if response.is_complete:
        if caller.method != 'HEAD':
            headers['Content-Length'] = str(len(response.body))
        await caller.response_writer.send_response(
            response.status, response.reason, headers, response.body
        )
        return
    await caller.response_writer.begin(
        response.status, response.reason, headers, response.body
    )
    await _relay_rest(caller, attempt)


async def relay_forwarded(
    caller: Caller, request: ForwardedRequest, head: ResponseHead
) -> None:
    """Relay the response of another daemon, chunk by chunk."""
    status, reason, headers = head
    await caller.response_writer.begin(
        status, reason, relayed_headers(headers, is_from_daemon=True)
    )
    await _relay_rest(caller, request)


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
    caller: Caller, source: ServerAttempt | ForwardedRequest
) -> None:
    while chunk := await source.next_chunk():
        await caller.response_writer.write(chunk)
    await caller.response_writer.end()
