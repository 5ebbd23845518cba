"""Hands over the body of a request and the response to it."""

from geraniumshelf_daemon.edge.attempt import ServerAttempt, ServerResponse
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import relayed_headers
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.upload import Upload


def make_upload(caller: Caller, pacer: LinkPacer) -> Upload:
    """Return the body of a request, whose copy the caller is charged for."""
    return Upload(
        caller.body, pacer, has_body=caller.has_body, hold=caller.charge.hold
    )


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
    while chunk := await attempt.next_chunk():
        await caller.response_writer.write(chunk)
    await caller.response_writer.end()
