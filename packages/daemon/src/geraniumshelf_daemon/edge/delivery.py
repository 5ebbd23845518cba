"""Relays the answer of a backend server to the caller."""

from geraniumshelf_daemon.edge.attempt import Answer, ServerAttempt
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import relayed_headers


async def relay_answer(
    caller: Caller, attempt: ServerAttempt, answer: Answer
) -> None:
    """Relay an answer, chunk by chunk if it has not been read completely.

    If the server cuts the answer short, the caller's connection is closed, so
    that the answer does not look complete.
    """
    headers = relayed_headers(answer.headers)
    if answer.is_complete:
        if caller.method != 'HEAD':
            headers['Content-Length'] = str(len(answer.body))
        await caller.response_writer.send_response(
            answer.status, answer.reason, headers, answer.body
        )
        return
    await caller.response_writer.begin(
        answer.status, answer.reason, headers, answer.body
    )
    while chunk := await attempt.next_chunk():
        await caller.response_writer.write(chunk)
    await caller.response_writer.end()
