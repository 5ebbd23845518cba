"""Receives one request of a caller."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from attrs import frozen
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from geraniumshelf_daemon.front.framing import check_framing
from geraniumshelf_daemon.front.request_charge import Charge, RequestCharge
from geraniumshelf_daemon.front.response_writer import ResponseWriter
from geraniumshelf_daemon.upstream.channel import ByteChannel

# Version in which connections are persistent by default.
_KEEP_ALIVE_VERSION: Final = 'HTTP/1.1'

Serve = Callable[['Caller'], Coroutine[Any, Any, None]]
_CallerPredicate = Callable[['Caller'], bool]
_CallerCallback = Callable[['Caller'], None]

# A field of a request head and its copy in the request to the server take about
# this much memory, however short it is.
_FIELD_BYTES: Final = 1024


@frozen
class _ConnectionHooks:
    is_first: _CallerPredicate
    is_last: _CallerPredicate
    may_serve: _CallerPredicate
    on_close_announced: _CallerCallback
    on_end: _CallerCallback


class Caller(HTTPMessageDelegate):
    """Receives one request and starts the task that serves it.

    Attributes:
        body: Chunks of the request body.
        response_writer: Writes the response.
        charge: What the request holds of the daemon's memory and descriptors.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        serve: Serve,
        is_leaving: Callable[[], bool],
        on_headers: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._serve = serve
        self._is_leaving = is_leaving
        self._on_headers = on_headers
        self._start_line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._task: asyncio.Task[None] | None = None
        self.body = ByteChannel()
        self.charge = RequestCharge()
        self.response_writer = ResponseWriter(
            connection,
            self.body,
            self._must_close,
            self._is_head_request,
            self._wait_for_earlier,
        )
        self._hooks: _ConnectionHooks | None = None
        self._response_allowed: asyncio.Future[None] | None = None

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self._start_line.method

    @property
    def target(self) -> str:
        """Return the request target."""
        return self._start_line.path

    @property
    def headers(self) -> HTTPHeaders:
        """Return the request headers."""
        return self._headers

    @property
    def address(self) -> str:
        """Return the IP address of the caller."""
        return str(getattr(self._connection.context, 'remote_ip', ''))

    @property
    def has_body(self) -> bool:
        """Return whether the request announces a body."""
        if 'Transfer-Encoding' in self._headers:
            return True
        return self._headers.get('Content-Length', '0') != '0'

    def join_connection(
        self,
        is_first: '_CallerPredicate',
        is_last: '_CallerPredicate',
        may_serve: '_CallerPredicate',
        on_close_announced: '_CallerCallback',
        on_end: '_CallerCallback',
        charge: Charge,
    ) -> None:
        """Join a connection, whose responses are sent in request order.

        Args:
            is_first: Returns whether a request is the oldest one in flight.
            is_last: Returns whether a request is the newest one in flight.
            may_serve: Returns whether a request that was read may be served.
            on_close_announced: Called when the response of a request carries
                ``Connection: close``.
            on_end: Called when the task of a request has ended.
            charge: Charges memory and descriptors to the connection.
        """
        self._hooks = _ConnectionHooks(
            is_first, is_last, may_serve, on_close_announced, on_end
        )
        self.charge.join(charge)

    def allow_response(self) -> None:
        """Allow the response to be written."""
        if (
            self._response_allowed is not None
            and not self._response_allowed.done()
        ):
            self._response_allowed.set_result(None)

    async def wait_for_earlier_responses(self) -> None:
        """Wait until the earlier requests of the connection have ended."""
        await self._wait_for_earlier()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Start the task that serves the request.

        Raises:
            HTTPInputError: If the length of the body is ambiguous.
        """
        assert isinstance(start_line, RequestStartLine)
        check_framing(start_line.method, headers)
        self._on_headers()
        self._start_line = start_line
        self._headers = headers
        self.charge.hold(_FIELD_BYTES * sum(1 for _ in headers.get_all()))
        if self._hooks is not None and not self._hooks.may_serve(self):
            # An earlier response has announced that the connection closes, so
            # the caller sends this request again on another connection.
            self.body.discard()
            self.charge.release()
            return
        self._task = asyncio.get_running_loop().create_task(self._serve(self))
        self._task.add_done_callback(self._on_task_done)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk; the next one is read once it is consumed."""
        return self.body.put(chunk)

    def finish(self) -> None:
        """End the request body."""
        self.body.finish()

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self.charge.clean()
        self.body.fail()
        if self._task is not None:
            self._task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled():
            task.exception()
        if self._hooks is not None:
            self.charge.release()
            self._hooks.on_end(self)

    async def _wait_for_earlier(self) -> None:
        if self._hooks is None or self._hooks.is_first(self):
            return
        self._response_allowed = asyncio.get_running_loop().create_future()
        await self._response_allowed

    def _is_head_request(self) -> bool:
        return self.method == 'HEAD'

    def _must_close(self, headers: HTTPHeaders) -> bool:
        must_close = self._ends_connection(headers)
        if must_close and self._hooks is not None:
            self._hooks.on_close_announced(self)
        return must_close

    def _ends_connection(self, headers: HTTPHeaders) -> bool:
        if self._is_leaving():
            # Requests that were read after this one still get a response.
            return self._hooks is None or self._hooks.is_last(self)
        if self.has_body and not self.body.is_finished:
            return True
        is_old_version = self._start_line.version != _KEEP_ALIVE_VERSION
        return is_old_version and 'Content-Length' not in headers
