"""Passes the answer of a backend server on to the caller."""

from geraniumshelf_daemon.edge.attempt import Answer, ServerAttempt
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import relayed_headers


async def deliver(
    caller: Caller, attempt: ServerAttempt, answer: Answer
) -> None:
    """Pass an answer on, piece by piece if it is not whole yet.

    An answer that breaks off cuts the caller's connection, so that it does not
    look complete.
    """
    headers = relayed_headers(answer.headers)
    if answer.is_whole:
        if caller.method != 'HEAD':
            headers['Content-Length'] = str(len(answer.body))
        await caller.reply.answer(
            answer.status, answer.reason, headers, answer.body
        )
        return
    await caller.reply.begin(answer.status, answer.reason, headers, answer.body)
    while chunk := await attempt.next_chunk():
        await caller.reply.write(chunk)
    await caller.reply.end()
