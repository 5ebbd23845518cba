"""Writes the response to a request of a caller."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_daemon.front.refusal import (
    refusal_body,
    refusal_headers,
    refusal_status,
)
from geraniumshelf_daemon.upstream.channel import ByteChannel

# Closing a connection with unread bytes resets it, and the caller may lose
# the response, so the rest of a refused upload is read for this long before the
# connection is closed.
_LINGER_S: Final = 2
# Value of SO_LINGER with which closing a socket resets the connection.
_LINGER_RESET: Final = struct.pack('ii', 1, 0)


class ResponseWriter:
    """Writes the response to one request.

    Args:
        connection: The connection to the caller.
        body: The request body.
        must_close: Returns whether the connection closes after a response
            with the given headers.
        has_no_body: Returns whether the method allows no response body.
        wait_for_earlier_responses: Waits until the earlier requests of the
            connection have ended.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        body: ByteChannel,
        must_close: Callable[[HTTPHeaders], bool],
        has_no_body: Callable[[], bool],
        wait_for_earlier_responses: Callable[[], Awaitable[None]],
    ) -> None:
        self._connection = connection
        self._body = body
        self._must_close = must_close
        self._has_no_body = has_no_body
        self._wait_for_earlier = wait_for_earlier_responses
        self._closes_connection = False
        self._has_begun = False

    @property
    def has_begun(self) -> bool:
        """Return whether the response has begun."""
        return self._has_begun

    async def begin(
        self,
        status: int,
        reason: str,
        headers: HTTPHeaders,
        chunk: bytes | None = None,
    ) -> None:
        """Write the status and headers, and a first chunk if there is one."""
        await self._wait_for_earlier()
        self._has_begun = True
        self._closes_connection = self._must_close(headers)
        if self._closes_connection:
            headers['Connection'] = 'close'
        await self._connection.write_headers(
            ResponseStartLine('HTTP/1.1', status, reason), headers, chunk
        )

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the response and wait until it is sent."""
        await self._connection.write(chunk)

    async def end(self) -> None:
        """End a response whose headers and body are fully written."""
        if not self._body.is_finished:
            await self._read_remainder()
        self._connection.finish()
        stream = self._connection.stream
        if self._closes_connection and not stream.closed():
            await stream.write(b'')
            stream.close()

    async def refuse(self, refusal: RequestRefused) -> None:
        """Write a refusal as the complete response."""
        body = refusal_body(refusal)
        headers = refusal_headers(refusal, len(body))
        await self.send_response(*refusal_status(refusal), headers, body)

    async def send_response(
        self, status: int, reason: str, headers: HTTPHeaders, body: bytes
    ) -> None:
        """Write a complete response; the headers must state its length."""
        chunk = None if self._has_no_body() else body
        await self.begin(status, reason, headers, chunk or None)
        await self.end()

    def abort(self) -> None:
        """Reset the connection, so that no response looks complete."""
        self._body.discard()
        stream = self._connection.stream
        if not stream.closed():
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self._connection.close()

    async def _read_remainder(self) -> None:
        self._body.discard()
        try:
            async with asyncio.timeout(_LINGER_S):
                await self._body.wait_end()
        except TimeoutError:
            return
