"""One attempt to get an answer from one backend server."""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
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

ResponseHead = tuple[int, str, HTTPHeaders]


@frozen
class RequestHead:
    """What goes to the backend server before the body.

    Attributes:
        method: HTTP method.
        target: Request target.
        headers: Makes the headers, with the time that is left.
    """

    method: str
    target: str
    headers: Callable[[], HTTPHeaders]


class Attempt:
    """Sends a request to one backend server and reads its answer."""

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
        self._passage = link_flow
        self._exchange: Exchange | None = None
        self._sending: asyncio.Task[None] | None = None
        self._stream_is_free = False

    @property
    def link_flow(self) -> LinkFlow:
        """Return the way to the backend server's region."""
        return self._passage

    async def start(
        self, head: RequestHead, on_sending: Callable[[], None]
    ) -> ResponseHead:
        """Send the request and return the head of the answer.

        Args:
            head: Request line and headers.
            on_sending: Called just before the first byte is sent.

        Raises:
            AttemptFailed: If there is no answer to relay.
            RequestRefused: If the caller stopped sending.
        """
        try:
            stream = await self._pool.acquire(self._address)
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'the backend server accepts no connection',
                Ran.NOT_RUN,
            ) from error
        self._exchange = Exchange(stream, head.method, head.target)
        on_sending()
        try:
            answer = await self._send(self._exchange, head)
        except SilentError as error:
            raise self._silent(Ran.UNKNOWN) from error
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                'the backend server closed the connection',
                Ran.UNKNOWN,
            ) from error
        if _is_shed(answer):
            raise AttemptFailed(
                ResultCode.BACKEND_REFUSED,
                'the backend server sheds load',
                Ran.NOT_RUN,
                is_failure=False,
            )
        return answer

    async def next_chunk(self) -> bytes:
        """Return the next chunk of the answer body, empty at the end.

        Raises:
            AttemptFailed: If the answer is cut short.
        """
        assert self._exchange is not None
        try:
            return await with_timeout(
                self._progress.timeout_s, self._exchange.body.take()
            )
        except SilentError as error:
            raise self._silent(Ran.RAN) from error
        except OSError as error:
            raise AttemptFailed(
                ResultCode.BACKEND_BROKEN,
                'the answer was cut short',
                Ran.RAN,
            ) from error

    async def retain_connection(self) -> None:
        """Keep the connection after the whole answer was read."""
        assert self._exchange is not None
        if self._sending is None or not self._sending.done():
            return
        if self._sending.exception() is None:
            self._stream_is_free = await self._exchange.check_reusable()

    def close(self) -> None:
        """Give the connection back, or close it, which cancels the work."""
        if self._sending is not None:
            self._sending.cancel()
        if self._exchange is None:
            return
        if self._stream_is_free:
            self._pool.release(self._address, self._exchange.stream)
        else:
            self._exchange.abort()

    async def _send(
        self, exchange: Exchange, head: RequestHead
    ) -> ResponseHead:
        timeout_s = self._progress.timeout_s
        await with_timeout(timeout_s, exchange.start(head.headers()))
        self._sending = asyncio.get_running_loop().create_task(
            self._upload.send(exchange, self._passage, self._progress)
        )
        self._sending.add_done_callback(_mark_retrieved)
        answer = asyncio.ensure_future(exchange.wait_head())
        try:
            await self._wait_for(answer, self._sending)
            return await answer
        finally:
            answer.cancel()

    async def _wait_for(
        self, answer: asyncio.Future[ResponseHead], sending: asyncio.Task[None]
    ) -> None:
        while not answer.done():
            steps = self._progress.steps
            awaited: set[asyncio.Future[Any]] = {answer}
            if not sending.done():
                awaited.add(sending)
            done, _ = await asyncio.wait(
                awaited,
                timeout=self._progress.timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if sending in done:
                _raise_refusal(sending)
            elif not done and self._is_silent(steps):
                raise SilentError

    def _is_silent(self, steps: int) -> bool:
        return self._progress.steps == steps and not self._upload.is_waiting

    def _silent(self, ran: Ran) -> AttemptFailed:
        dropped = self._pool.drop_idle(self._address)
        count_metric(Metric.CONNECTIONS_SILENT)
        log_event(Event.CONNECTION_SILENT, self._address, dropped=dropped)
        return AttemptFailed(
            ResultCode.BACKEND_SILENT,
            'the backend server stopped answering',
            ran,
        )


def _is_shed(answer: ResponseHead) -> bool:
    status, _, headers = answer
    ran = headers.get(_RAN_HEADER, '')
    return status == _SHED_STATUS and ran == Ran.NOT_RUN.value


def _raise_refusal(sending: asyncio.Task[None]) -> None:
    error = sending.exception()
    if isinstance(error, RequestRefused):
        raise error


def _mark_retrieved(task: asyncio.Task[None]) -> None:
    if not task.cancelled():
        task.exception()
