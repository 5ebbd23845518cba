"""One attempt to send a request to a backend server."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.upstream.early_response import send_remainder
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.links import LinkFlow
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.upstream.progress import (
    AttemptFailed,
    Progress,
    SilentError,
    with_timeout,
)
from geraniumshelf_daemon.upstream.upload import Upload

_SHED_STATUS: Final = 503
_RAN_HEADER: Final = 'Geraniumshelf-Ran'

# Status code, reason phrase and headers.
ResponseHead = tuple[int, str, HTTPHeaders]


@frozen
class RequestHead:
    """Request line and headers sent to the backend server.

    Attributes:
        method: HTTP method.
        target: Request target.
        make_headers: Returns the headers. It is called just before they are
            sent, because they contain the time left until the deadline.
    """

    method: str
    target: str
    make_headers: Callable[[], HTTPHeaders]


class Attempt:
    """Sends a request to one backend server and reads the response."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        timeout_s: float,
        upload: Upload,
        link_flow: LinkFlow,
    ) -> None:
        self._pool = pool
        self._address = address
        self._progress = Progress(timeout_s)
        self._upload = upload
        self._link_flow = link_flow
        self._exchange: Exchange | None = None
        self._upload_task: asyncio.Task[None] | None = None
        self._is_reusable = False

    @property
    def link_flow(self) -> LinkFlow:
        """Return the flow on the link to the backend server's region."""
        return self._link_flow

    async def start(
        self, head: RequestHead, on_sending: Callable[[], None]
    ) -> ResponseHead:
        """Send the request and return the head of the response.

        Args:
            head: Request line and headers.
            on_sending: Called just before the first byte is sent.

        Raises:
            AttemptFailed: If there is no response to relay.
            RequestRefused: If the caller stopped sending the request body.
        """
        try:
            stream = await self._pool.acquire(self._address)
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'cannot connect to the backend server',
                Ran.NOT_RUN,
            ) from error
        self._exchange = Exchange(stream, head.method, head.target)
        on_sending()
        try:
            response = await self._send(self._exchange, head)
        except SilentError as error:
            raise self._build_silence_error(Ran.UNKNOWN) from error
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                'the connection to the backend server ended without a response',
                Ran.UNKNOWN,
            ) from error
        if _is_load_shed(response):
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'the backend server rejected the request because of its load',
                Ran.NOT_RUN,
                is_server_failure=False,
            )
        return response

    async def next_chunk(self) -> bytes:
        """Return the next chunk of the response body, empty at the end.

        Raises:
            AttemptFailed: If the response is truncated.
        """
        assert self._exchange is not None
        try:
            return await with_timeout(
                self._progress.timeout_s, self._exchange.body.take()
            )
        except SilentError as error:
            raise self._build_silence_error(Ran.RAN) from error
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                'the response of the backend server was truncated',
                Ran.RAN,
            ) from error

    async def retain_connection(self) -> None:
        """Mark the connection for reuse, if possible, after the response."""
        assert self._exchange is not None
        if self._upload_task is None or not self._upload_task.done():
            return
        if self._upload_task.exception() is None:
            self._is_reusable = await self._exchange.check_reusable()

    async def finish_upload(self) -> None:
        """Send the rest of a body whose response came before its end."""
        assert self._exchange is not None
        await send_remainder(self._upload_task, self._exchange, None)

    def close(self) -> None:
        """Return the connection to the pool, or close it.

        Closing it cancels the request at the backend server.
        """
        if self._upload_task is not None:
            self._upload_task.cancel()
        if self._exchange is None:
            return
        if self._is_reusable:
            self._pool.release(self._address, self._exchange.stream)
        else:
            self._exchange.abort()

    async def _send(
        self, exchange: Exchange, head: RequestHead
    ) -> ResponseHead:
        timeout_s = self._progress.timeout_s
        await with_timeout(timeout_s, exchange.start(head.make_headers()))
        self._upload_task = asyncio.get_running_loop().create_task(
            self._upload.send(exchange, self._link_flow, self._progress)
        )
        self._upload_task.add_done_callback(_retrieve_exception)
        response = asyncio.ensure_future(exchange.wait_head())
        try:
            await self._wait_for_head(response, self._upload_task)
            return await response
        finally:
            response.cancel()

    async def _wait_for_head(
        self,
        response: asyncio.Future[ResponseHead],
        upload_task: asyncio.Task[None],
    ) -> None:
        while not response.done():
            chunks_sent = self._progress.chunks_sent
            awaited: set[asyncio.Future[Any]] = {response}
            if not upload_task.done():
                awaited.add(upload_task)
            done, _ = await asyncio.wait(
                awaited,
                timeout=self._progress.timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if upload_task in done:
                _raise_refusal(upload_task)
            elif not done and self._has_stalled(chunks_sent):
                raise SilentError

    def _has_stalled(self, chunks_sent: int) -> bool:
        return (
            self._progress.chunks_sent == chunks_sent
            and not self._upload.is_waiting
        )

    def _build_silence_error(self, ran: Ran) -> AttemptFailed:
        dropped = self._pool.close_idle(self._address)
        count_metric(Metric.CONNECTIONS_SILENT)
        log_event(Event.CONNECTION_SILENT, self._address, dropped=dropped)
        return AttemptFailed(
            ResultCode.BACKEND_SILENT,
            'the backend server transferred no data within the progress '
            f'timeout of {self._progress.timeout_s:g} s',
            ran,
        )


def _is_load_shed(response: ResponseHead) -> bool:
    status, _, headers = response
    ran = headers.get(_RAN_HEADER, '')
    return status == _SHED_STATUS and ran == Ran.NOT_RUN.value


def _raise_refusal(upload_task: asyncio.Task[None]) -> None:
    error = upload_task.exception()
    if isinstance(error, RequestRefused):
        raise error


def _retrieve_exception(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()
