"""One request that is sent to another daemon in place of a server."""

import asyncio
from typing import Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.connection_charge import ConnectionCharge
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.framing import BODY_METHODS
from geraniumshelf_daemon.front.headers import FORWARDED_HEADER
from geraniumshelf_daemon.upstream.early_response import send_remainder
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.upstream.response_delegate import ResponseHead

# Far above three times the network delay between two daemons of a zone.
_CONNECT_TIMEOUT_MS: Final = 300
_CONNECT_TIMEOUT_NS: Final[Nanoseconds] = _CONNECT_TIMEOUT_MS * MILLISECOND_NS
_FORWARDED_VALUE: Final = '1'


def is_forwarded(headers: HTTPHeaders) -> bool:
    """Return whether another daemon has forwarded a request."""
    return FORWARDED_HEADER in headers


class ForwardedRequest:
    """Sends a request to another daemon and reads its response.

    Each request has a connection of its own: one that the other daemon closes
    as idle could cross with the request, and nobody would know whether it ran.

    Args:
        caller: The request.
        address: IP address and port of the other daemon.

    Raises:
        CancelledError: If charging the connection has closed that of the
            caller.
    """

    def __init__(self, caller: Caller, address: str) -> None:
        self._caller = caller
        self._address = address
        self._exchange: Exchange | None = None
        self._upload_task: asyncio.Task[None] | None = None
        self._charge = ConnectionCharge(caller, self.close)

    async def connect(self) -> None:
        """Open the connection.

        Raises:
            OSError: If the daemon accepts none; nothing was sent.
        """
        pool = ConnectionPool(0, _CONNECT_TIMEOUT_NS)
        stream = await pool.connect(self._address, self._charge.record_opening)
        self._charge.record_opened()
        caller = self._caller
        self._exchange = Exchange(stream, caller.method, caller.target)

    def send(self, headers: HTTPHeaders) -> None:
        """Start to send the request; ``wait_head`` tells if that fails.

        Args:
            headers: Headers of the request for the daemon.
        """
        assert self._exchange is not None
        caller = self._caller
        headers[FORWARDED_HEADER] = _FORWARDED_VALUE
        if not caller.has_body and caller.method in BODY_METHODS:
            # Without a length, Tornado announces a chunked body.
            headers['Content-Length'] = '0'
        self._exchange.start_nowait(headers)
        if caller.has_body:
            self._upload_task = asyncio.create_task(self._send_body())
            self._upload_task.add_done_callback(_retrieve_exception)

    async def wait_head(self, timeout_s: float) -> ResponseHead | None:
        """Return the head of the response, ``None`` if there is none yet.

        Raises:
            ConnectionError: If the connection ended without one.
        """
        assert self._exchange is not None
        head = asyncio.ensure_future(self._exchange.wait_head())
        try:
            done, _ = await asyncio.wait((head,), timeout=timeout_s)
            return head.result() if done else None
        finally:
            head.cancel()

    async def next_chunk(self) -> bytes:
        """Return the next chunk of the response body, empty at the end.

        Raises:
            ConnectionError: If the daemon cut the response short.
        """
        assert self._exchange is not None
        return await self._exchange.body.take()

    async def finish_upload(self, timeout_s: float) -> None:
        """Send the rest of a body whose response came before its end."""
        assert self._exchange is not None
        await send_remainder(self._upload_task, self._exchange, timeout_s)

    def close(self) -> None:
        """Close the connection, which cancels the request at the daemon."""
        if self._upload_task is not None:
            self._upload_task.cancel()
        self._charge.release()
        if self._exchange is not None:
            self._exchange.abort()

    async def _send_body(self) -> None:
        assert self._exchange is not None
        while chunk := await self._caller.body.take():
            await self._exchange.send(chunk)
        self._exchange.finish()


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()
