"""Request bodies whose response comes before their end."""

import asyncio
from contextlib import suppress

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.upstream.exchange import Exchange


async def send_remainder(
    upload_task: asyncio.Task[None] | None,
    exchange: Exchange,
    timeout_s: float | None,
) -> None:
    """Send the rest of a body after its response.

    A server may respond early, keep its connection and read on. It gets the
    rest as the caller sends it, or its connection is closed, so that a cut body
    does not look whole (RFC 9112, section 8).

    Args:
        upload_task: Sends the body; ``None`` if there is none.
        exchange: The exchange with the server.
        timeout_s: Time for the rest, seconds; ``None`` for no bound.
    """
    if upload_task is None:
        return
    if exchange.is_request_sent:
        # The server may have closed the connection after its response.
        with suppress(OSError):
            await exchange.flush()
        return
    try:
        async with asyncio.timeout(timeout_s):
            await upload_task
            await exchange.flush()
    except (OSError, RequestRefused) as error:
        # The caller has its response, whatever becomes of the rest.
        log_event(Event.BODY_CUT, type(error).__name__)
        exchange.abort()
