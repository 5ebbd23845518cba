"""One attempt to get an answer from one backend server."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.dispatch.links.state import FlowKey
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.connections import (
    ServerConnections,
    TakenConnection,
)
from geraniumshelf_daemon.edge.interface import (
    AnswerFields,
    ForwardedFields,
    HeaderCodec,
)
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.framing import BODY_METHODS
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.links import LinkFlow
from geraniumshelf_daemon.upstream.progress import AttemptFailed, Progress
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner
from geraniumshelf_daemon.upstream.upload import Upload

# Answers up to this size are read whole before the caller gets the first
# byte, so that a cut one can be repeated or replaced.
_LARGEST_HELD: Final = 262144
_SUCCESS_CLASS: Final = 2
_STATUS_CLASS: Final = 100
_OWN_REGION: Final = LinkFlow('', FlowKey('', ''))


@frozen
class AttemptDependencies:
    """What all attempts share.

    Attributes:
        connections: Connections to backend servers.
        codec: Reads and writes their headers.
        clock: Returns the current time, nanoseconds.
        handle_notices: Takes what a server says of itself in an answer.
    """

    connections: ServerConnections
    codec: HeaderCodec
    clock: Callable[[], Nanoseconds]
    handle_notices: Callable[[ServerView, AnswerFields], None]


@frozen
class Answer:
    """An answer whose body has been read as far as it is held.

    Attributes:
        status: HTTP status.
        reason: HTTP reason.
        headers: Headers of the server.
        fields: What they say.
        body: Beginning of the body.
        is_whole: Whether that is all of it.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    fields: AnswerFields
    body: bytes
    is_whole: bool


class ServerAttempt:
    """Sends a request to one backend server and reads its answer."""

    def __init__(
        self,
        tools: AttemptDependencies,
        order: RoutedRequest,
        view: ServerView,
        upload: Upload,
    ) -> None:
        self._tools = tools
        self._order = order
        self._view = view
        self._server = view.server
        self._upload = upload
        self._exchange: Exchange | None = None
        self._sending: asyncio.Task[None] | None = None
        self._keeps_connection = False
        self._taken: TakenConnection | None = None

    async def connect(self, caller: Caller) -> None:
        """Take a connection to the server.

        Raises:
            AttemptFailed: If it accepts none; nothing was sent.
        """
        try:
            self._taken = await self._tools.connections.take(self._view)
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'the backend server accepts no connection',
                Ran.NOT_RUN,
            ) from error
        self._exchange = Exchange(
            self._taken.stream,
            caller.method,
            caller.target,
            self._find_owner,
        )

    async def ask(
        self, caller: Caller, on_silence: Callable[[], float | None]
    ) -> Answer:
        """Send the request and read the answer.

        Args:
            caller: The request.
            on_silence: Called when no answer has come for a while; returns
                the seconds to wait until the next call, or ``None`` to give
                up.

        Raises:
            AttemptFailed: If there is no answer to relay.
            RequestRefused: If the caller stopped sending.
        """
        assert self._exchange is not None
        self._exchange.start_nowait(self._headers(caller))
        if caller.has_body:
            self._sending = asyncio.create_task(self._send())
            self._sending.add_done_callback(_mark_retrieved)
        try:
            status, reason, headers = await self._wait_head(on_silence)
            fields = self._tools.codec.read_answer(status, headers)
            self._view.idle_time = fields.idle_time
            self._tools.handle_notices(self._view, fields)
            _check_answer(status, fields)
            body, is_whole = await self._hold_body()
        except OSError as error:
            if self._taken is not None and not self._exchange.has_head:
                self._tools.connections.note_loss(self._view, self._taken)
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                f'the backend server broke off: {error}',
                Ran.UNKNOWN,
            ) from error
        if is_whole:
            await self._settle()
        return Answer(status, reason, headers, fields, body, is_whole)

    async def next_chunk(self) -> bytes:
        """Return the next chunk of a long body, empty at the end.

        Raises:
            ConnectionError: If the answer is cut short.
        """
        assert self._exchange is not None
        return await self._exchange.body.take()

    def close(self) -> None:
        """Give the connection back, or close it, which cancels the work."""
        if self._sending is not None:
            self._sending.cancel()
        if self._exchange is None or self._taken is None:
            return
        if self._keeps_connection:
            self._tools.connections.give_back(self._view, self._taken)
        else:
            self._exchange.abort()

    def _headers(self, caller: Caller) -> HTTPHeaders:
        order = self._order
        headers = self._tools.codec.write_request(
            caller.headers,
            order.fields.key,
            ForwardedFields(
                self._server.name,
                order.account_name,
                order.deadline - self._tools.clock(),
            ),
        )
        if not caller.has_body and caller.method in BODY_METHODS:
            # Without a length tornado announces a body in chunks.
            headers['Content-Length'] = '0'
        return headers

    async def _send(self) -> None:
        assert self._exchange is not None
        left = ns_to_seconds(self._order.deadline - self._tools.clock())
        await self._upload.send(
            self._exchange, _OWN_REGION, Progress(max(left, 0))
        )

    async def _wait_head(
        self, on_silence: Callable[[], float | None]
    ) -> tuple[int, str, HTTPHeaders]:
        assert self._exchange is not None
        head = asyncio.ensure_future(self._exchange.wait_head())
        try:
            while not head.done():
                wait_s = on_silence()
                if wait_s is None:
                    raise _silent()
                await self._wait_for(head, wait_s)
            return await head
        finally:
            head.cancel()

    async def _wait_for(self, head: asyncio.Future[Any], wait_s: float) -> None:
        awaited = {head}
        if self._sending is not None and not self._sending.done():
            awaited.add(self._sending)
        done, _ = await asyncio.wait(
            awaited, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        if self._sending in done:
            _raise_refusal(self._sending)

    async def _hold_body(self) -> tuple[bytes, bool]:
        chunks: list[bytes] = []
        held = 0
        while held < _LARGEST_HELD:
            chunk = await self.next_chunk()
            if not chunk:
                return b''.join(chunks), True
            chunks.append(chunk)
            held += len(chunk)
        return b''.join(chunks), False

    async def _settle(self) -> None:
        assert self._exchange is not None
        is_sent = self._sending is None or (
            self._sending.done() and not self._sending.cancelled()
        )
        if is_sent and self._exchange.is_request_sent:
            self._keeps_connection = await self._exchange.check_reusable()

    def _find_owner(self, headers: HTTPHeaders) -> ResponseOwner:
        # A second copy of an earlier answer may come on a connection that is
        # in use again, so an answer without an id may belong to any request.
        asked = self._order.fields.request_id
        found = self._tools.codec.read_answer(0, headers).request_ids
        if found == (asked,) or not (found or asked):
            return ResponseOwner.OWN
        return ResponseOwner.OTHER if len(found) == 1 else ResponseOwner.UNKNOWN


def _check_answer(status: int, fields: AnswerFields) -> None:
    if fields.is_not_run:
        raise AttemptFailed(
            ResultCode.BACKEND_REFUSED,
            'another server has the address'
            if fields.is_misdirected
            else 'the backend server did not run the request',
            Ran.NOT_RUN,
            is_failure=fields.is_misdirected,
        )
    if status // _STATUS_CLASS == _SUCCESS_CLASS and not fields.is_signed:
        raise AttemptFailed(
            ResultCode.BACKEND_BROKEN,
            'the answer is not signed',
            Ran.UNKNOWN,
        )


def _silent() -> AttemptFailed:
    return AttemptFailed(
        ResultCode.BACKEND_SILENT,
        'the backend server does not answer',
        Ran.UNKNOWN,
    )


def _raise_refusal(sending: asyncio.Task[None] | None) -> None:
    error = sending.exception() if sending is not None else None
    if isinstance(error, RequestRefused):
        raise error


def _mark_retrieved(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.exception()
