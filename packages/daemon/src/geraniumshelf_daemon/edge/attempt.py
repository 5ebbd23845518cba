"""One attempt to send a request to one backend server."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.dispatch.links.state import FlowKey
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.connection_charge import ConnectionCharge
from geraniumshelf_daemon.edge.connections import (
    AcquiredConnection,
    ServerConnections,
)
from geraniumshelf_daemon.edge.interface import (
    ForwardedFields,
    HeaderCodec,
    ResponseFields,
)
from geraniumshelf_daemon.edge.response_check import check_response
from geraniumshelf_daemon.edge.routed_request import RoutedRequest
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.framing import BODY_METHODS
from geraniumshelf_daemon.upstream.early_response import send_remainder
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.links import LinkFlow
from geraniumshelf_daemon.upstream.progress import AttemptFailed, Progress
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner
from geraniumshelf_daemon.upstream.upload import Upload

# Responses up to this size are read completely before the caller gets the first
# byte, so that the request can be retried or refused if one is cut short.
_MAX_BUFFERED_BYTES: Final = 262144
# An empty region disables pacing.
_UNPACED: Final = LinkFlow('', FlowKey('', ''))


@frozen
class AttemptDependencies:
    """Dependencies that all attempts share.

    Attributes:
        connections: Connections to backend servers.
        codec: Reads and writes the headers of requests and responses.
        clock: Returns the current time, nanoseconds.
        handle_notices: Handles the notices of a server in the response to a
            request that was sent at a time.
    """

    connections: ServerConnections
    codec: HeaderCodec
    clock: Callable[[], Nanoseconds]
    handle_notices: Callable[[ServerView, ResponseFields, Nanoseconds], None]


@frozen
class ServerResponse:
    """A response with its body, as far as that is buffered.

    Attributes:
        status: HTTP status.
        reason: HTTP reason phrase.
        headers: Headers as the server sent them.
        fields: Values read from the headers.
        body: Buffered beginning of the body.
        is_complete: Whether the whole body is buffered.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    fields: ResponseFields
    body: bytes
    is_complete: bool


class ServerAttempt:
    """Sends a request to one backend server and reads its response."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        request: RoutedRequest,
        view: ServerView,
        upload: Upload,
    ) -> None:
        self._shared = dependencies
        self._request = request
        self._view = view
        self._server = view.server
        self._upload = upload
        self._exchange: Exchange | None = None
        self._upload_task: asyncio.Task[None] | None = None
        self._is_reusable = False
        self._connection: AcquiredConnection | None = None
        self._charge: ConnectionCharge | None = None

    async def connect(self, caller: Caller) -> None:
        """Acquire a connection to the server.

        Raises:
            AttemptFailed: If the server accepts no connection; nothing was
                sent.
        """
        self._charge = ConnectionCharge(caller, self.close)
        try:
            self._connection = await self._shared.connections.acquire(
                self._view, self._charge.record_opening
            )
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'the backend server accepted no connection',
                Ran.NOT_RUN,
            ) from error
        self._charge.record_opened()
        self._exchange = Exchange(
            self._connection.stream,
            caller.method,
            caller.target,
            self._find_owner,
        )

    async def send_request(
        self, caller: Caller, on_silence: Callable[[], float | None]
    ) -> ServerResponse:
        """Send the request and read the response.

        Args:
            caller: The request of the caller.
            on_silence: Called at the start and when a wait ends without a
                response; returns the next wait, seconds, ``None`` to give up.

        Raises:
            AttemptFailed: If there is no response that can be relayed.
            RequestRefused: If the caller stopped sending the body.
        """
        assert self._exchange is not None
        sent_at = self._shared.clock()
        self._exchange.start_nowait(self._headers(caller))
        if caller.has_body:
            self._upload_task = asyncio.create_task(self._send_body())
            self._upload_task.add_done_callback(_mark_retrieved)
        try:
            status, reason, headers = await self._receive_head(on_silence)
            fields = self._shared.codec.read_response(status, headers)
            self._view.idle_time = fields.idle_time
            self._shared.handle_notices(self._view, fields, sent_at)
            check_response(status, fields)
            body, is_complete = await self._buffer_body(caller)
        except OSError as error:
            if self._connection is not None and not self._exchange.has_head:
                self._shared.connections.record_connection_loss(
                    self._view, self._connection
                )
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                f'the exchange with the backend server failed: {error}',
                Ran.UNKNOWN,
            ) from error
        if is_complete:
            await self._finish_exchange()
        return ServerResponse(
            status, reason, headers, fields, body, is_complete
        )

    async def next_chunk(self) -> bytes:
        """Return the next chunk of an incomplete body, empty at the end.

        Raises:
            ConnectionError: If the server cut the response short.
        """
        assert self._exchange is not None
        return await self._exchange.body.take()

    async def finish_upload(self, timeout_s: float) -> None:
        """Send the rest of a body whose response came before its end."""
        assert self._exchange is not None
        await send_remainder(self._upload_task, self._exchange, timeout_s)

    def close(self) -> None:
        """Release the connection, or close it to cancel the work."""
        if self._upload_task is not None:
            self._upload_task.cancel()
        if self._exchange is None or self._connection is None:
            if self._charge is not None:
                self._charge.release()
            return
        if self._charge is None or not self._charge.release():
            return
        if self._is_reusable:
            self._shared.connections.release(self._view, self._connection)
        else:
            self._exchange.abort()

    def _headers(self, caller: Caller) -> HTTPHeaders:
        request = self._request
        headers = self._shared.codec.write_request(
            caller.headers,
            request.fields.key,
            ForwardedFields(
                self._server.name,
                request.account_name,
                request.deadline - self._shared.clock(),
            ),
        )
        if not caller.has_body and caller.method in BODY_METHODS:
            # Without a length, Tornado announces a chunked body.
            headers['Content-Length'] = '0'
        return headers

    async def _send_body(self) -> None:
        assert self._exchange is not None
        time_left_s = ns_to_seconds(
            self._request.deadline - self._shared.clock()
        )
        await self._upload.send(
            self._exchange, _UNPACED, Progress(max(time_left_s, 0))
        )

    async def _receive_head(
        self, on_silence: Callable[[], float | None]
    ) -> tuple[int, str, HTTPHeaders]:
        assert self._exchange is not None
        head = asyncio.ensure_future(self._exchange.wait_head())
        try:
            while not head.done():
                wait_s = on_silence()
                if wait_s is None:
                    raise _silence_failure()
                await self._wait_for_head(head, wait_s)
            return await head
        finally:
            head.cancel()

    async def _wait_for_head(
        self, head: asyncio.Future[Any], wait_s: float
    ) -> None:
        awaited = {head}
        if self._upload_task is not None and not self._upload_task.done():
            awaited.add(self._upload_task)
        done, _ = await asyncio.wait(
            awaited, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
        )
        if self._upload_task in done:
            _raise_upload_refusal(self._upload_task)

    async def _buffer_body(self, caller: Caller) -> tuple[bytes, bool]:
        chunks: list[bytes] = []
        buffered_bytes = 0
        while buffered_bytes < _MAX_BUFFERED_BYTES:
            chunk = await self.next_chunk()
            if not chunk:
                return b''.join(chunks), True
            chunks.append(chunk)
            buffered_bytes += len(chunk)
            caller.charge.hold(len(chunk))
        return b''.join(chunks), False

    async def _finish_exchange(self) -> None:
        assert self._exchange is not None
        is_sent = self._upload_task is None or (
            self._upload_task.done() and not self._upload_task.cancelled()
        )
        if is_sent and self._exchange.is_request_sent:
            self._is_reusable = await self._exchange.check_reusable()

    def _find_owner(self, headers: HTTPHeaders) -> ResponseOwner:
        # A duplicate of an earlier response may arrive on a reused connection,
        # so a response without a request id may belong to any request.
        own_id = self._request.fields.request_id
        ids = self._shared.codec.read_response(0, headers).request_ids
        if ids == (own_id,) or not (ids or own_id):
            return ResponseOwner.OWN
        return ResponseOwner.OTHER if len(ids) == 1 else ResponseOwner.UNKNOWN


def _silence_failure() -> AttemptFailed:
    return AttemptFailed(
        ResultCode.BACKEND_SILENT,
        'the backend server did not respond in the expected time',
        Ran.UNKNOWN,
    )


def _raise_upload_refusal(upload_task: asyncio.Task[None] | None) -> None:
    error = upload_task.exception() if upload_task is not None else None
    if isinstance(error, RequestRefused):
        raise error


def _mark_retrieved(future: asyncio.Future[Any]) -> None:
    if not future.cancelled():
        future.exception()
