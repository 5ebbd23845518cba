"""One request of a caller."""

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
from geraniumshelf_daemon.front.reply import Reply
from geraniumshelf_daemon.upstream.channel import ByteChannel

_KEPT_VERSION: Final = 'HTTP/1.1'

Serve = Callable[['Caller'], Coroutine[Any, Any, None]]
_Ask = Callable[['Caller'], bool]
_Tell = Callable[['Caller'], None]


@frozen
class _Order:
    is_first: _Ask
    is_last: _Ask
    may_begin: _Ask
    on_closing: _Tell
    on_end: _Tell


class Caller(HTTPMessageDelegate):
    """Reads one request and starts the task that serves it.

    Attributes:
        body: Chunks of the request body.
        reply: The answer.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        serve: Serve,
        is_leaving: Callable[[], bool],
        on_head: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._serve = serve
        self._is_leaving = is_leaving
        self._on_head = on_head
        self._start_line = RequestStartLine('', '', '')
        self._headers = HTTPHeaders()
        self._task: asyncio.Task[None] | None = None
        self.body = ByteChannel()
        self.reply = Reply(
            connection,
            self.body,
            self._must_close,
            self._is_head,
            self._wait_turn,
        )
        self._order: _Order | None = None
        self._turn: asyncio.Future[None] | None = None

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
        is_first: '_Ask',
        is_last: '_Ask',
        may_begin: '_Ask',
        on_closing: '_Tell',
        on_end: '_Tell',
    ) -> None:
        """Take a place in the order of answers of one connection.

        Args:
            is_first: Whether a request is the oldest under way.
            is_last: Whether a request is the newest under way.
            may_begin: Whether a request that was read may be served.
            on_closing: Called when its answer says that the connection ends.
            on_end: Called when its task has ended.
        """
        self._order = _Order(is_first, is_last, may_begin, on_closing, on_end)

    def take_turn(self) -> None:
        """Let the answer be written."""
        if self._turn is not None and not self._turn.done():
            self._turn.set_result(None)

    async def wait_for_earlier_responses(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        await self._wait_turn()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Start the task that serves the request.

        Raises:
            HTTPInputError: If the length of the body is not certain.
        """
        assert isinstance(start_line, RequestStartLine)
        check_framing(start_line.method, headers)
        self._on_head()
        self._start_line = start_line
        self._headers = headers
        if self._order is not None and not self._order.may_begin(self):
            # The caller sends it again, as the answer before it announces the
            # end of the connection.
            self.body.discard()
            return
        self._task = asyncio.get_running_loop().create_task(self._serve(self))
        self._task.add_done_callback(self._note_end)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Hand over a chunk; the next is read once it was taken."""
        return self.body.put(chunk)

    def finish(self) -> None:
        """End the request body."""
        self.body.finish()

    def on_connection_close(self) -> None:
        """Cancel the work of a caller that has gone."""
        self.body.fail()
        if self._task is not None:
            self._task.cancel()

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled():
            task.exception()
        if self._order is not None:
            self._order.on_end(self)

    async def _wait_turn(self) -> None:
        if self._order is None or self._order.is_first(self):
            return
        self._turn = asyncio.get_running_loop().create_future()
        await self._turn

    def _is_head(self) -> bool:
        return self.method == 'HEAD'

    def _must_close(self, headers: HTTPHeaders) -> bool:
        must_close = self._is_end(headers)
        if must_close and self._order is not None:
            self._order.on_closing(self)
        return must_close

    def _is_end(self, headers: HTTPHeaders) -> bool:
        if self._is_leaving():
            # A request that was read behind this one still gets its answer.
            return self._order is None or self._order.is_last(self)
        if self.has_body and not self.body.is_finished:
            return True
        is_old = self._start_line.version != _KEPT_VERSION
        return is_old and 'Content-Length' not in headers
