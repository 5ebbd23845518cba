"""Forwards requests to backend servers and relays the responses."""

from collections.abc import Callable
from typing import Final

from attrs import evolve, frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.dispatch.links.state import FlowKey
from geraniumshelf_core.dispatch.state import ServerState
from geraniumshelf_core.errors import Ran, RequestRefused
from geraniumshelf_core.idempotency.state import MAX_KEPT_BODY_BYTES, Finished
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
)
from geraniumshelf_daemon.front.admission import RoutedRequest
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.framing import BODY_METHODS
from geraniumshelf_daemon.front.headers import (
    ACCOUNT_HEADER,
    DEADLINE_HEADER,
    ID_HEADER,
    forwarded_headers,
    relayed_headers,
)
from geraniumshelf_daemon.front.running import RunningRequest
from geraniumshelf_daemon.upstream.attempt import (
    Attempt,
    RequestHead,
    ResponseHead,
)
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher, DispatchRequest
from geraniumshelf_daemon.upstream.links import LinkFlow, LinkPacer
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.upstream.progress import (
    AttemptFailed,
    SilentError,
    with_timeout,
)
from geraniumshelf_daemon.upstream.upload import Upload

_MS_PER_S: Final = 1000
_MAX_ATTEMPTS: Final = 3
# A backend server that sheds load or refuses a request usually accepts work
# again soon.
_RETRY_AFTER_S: Final = 1


@frozen
class ForwardingTask:
    """One admitted request while it is forwarded.

    Attributes:
        caller: The request as received, and its response.
        request: Route, account and deadlines of the request.
        running: Its entry among the running requests.
        upload: The request body.
    """

    caller: Caller
    request: RoutedRequest
    running: RunningRequest
    upload: Upload


class Forwarder:
    """Sends requests to backend servers until one responds."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        pacer: LinkPacer,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._pacer = pacer
        self._clock = clock

    async def run(
        self, caller: Caller, request: RoutedRequest, running: RunningRequest
    ) -> Finished:
        """Run a request and relay the response.

        Returns:
            The response, to be stored for repetitions of the request.

        Raises:
            RequestRefused: If no server responded; no part of a response was
                sent to the caller.
            ConnectionError: If the response broke off after it had begun.
        """
        task = ForwardingTask(
            caller,
            request,
            running,
            Upload(caller.body, self._pacer, has_body=caller.has_body),
        )
        dispatch_request = DispatchRequest(
            request.service.name,
            request.account,
            request.route.may_wait,
            request.wait_deadline,
        )
        for attempts_left in reversed(range(_MAX_ATTEMPTS)):
            server = await self._dispatcher.reserve(dispatch_request)
            try:
                return await self._attempt(task, server)
            except AttemptFailed as failed:
                self._check_retry(task, failed, attempts_left)
            dispatch_request = evolve(
                dispatch_request,
                excluded=dispatch_request.excluded | {server.server.name},
            )
        raise AssertionError('the last attempt neither returned nor raised')

    async def _attempt(
        self, task: ForwardingTask, server: ServerState
    ) -> Finished:
        failure: AttemptFailed | None = None
        ran_before = task.running.ran
        attempt = Attempt(
            self._pool,
            server.server.address,
            task.request.service.progress_timeout_ms / _MS_PER_S,
            task.upload,
            self._link_flow(task.request, server),
        )
        try:
            head = await attempt.start(
                self._request_head(task), _SentMarker(task.running)
            )
            task.running.ran = Ran.RAN
            return await self._relay(task, attempt, head)
        except AttemptFailed as failed:
            failure = failed
            # An earlier attempt may have run, whatever this one did.
            if ran_before is Ran.NOT_RUN:
                task.running.ran = failed.ran
            raise
        finally:
            attempt.close()
            self._dispatcher.release(
                server,
                is_failure=failure is not None and failure.is_server_failure,
                is_shed=failure is not None and not failure.is_server_failure,
            )

    async def _relay(
        self, task: ForwardingTask, attempt: Attempt, head: ResponseHead
    ) -> Finished:
        status, reason, headers = head
        relayed = relayed_headers(headers)
        writer = task.caller.response_writer
        timeout_s = task.request.service.progress_timeout_ms / _MS_PER_S
        kept = bytearray()
        try:
            await with_timeout(timeout_s, writer.begin(status, reason, relayed))
            while chunk := await attempt.next_chunk():
                await self._pacer.receive(attempt.link_flow, len(chunk))
                if len(kept) <= MAX_KEPT_BODY_BYTES:
                    kept += chunk
                await with_timeout(timeout_s, writer.write(chunk))
        except SilentError as error:
            raise ConnectionError(
                f'the caller did not read the response within {timeout_s} s'
            ) from error
        await attempt.retain_connection()
        await attempt.finish_upload()
        await writer.end()
        is_kept = len(kept) <= MAX_KEPT_BODY_BYTES
        return Finished(
            status,
            tuple(relayed.get_all()),
            bytes(kept) if is_kept else None,
        )

    def _link_flow(
        self, request: RoutedRequest, server: ServerState
    ) -> LinkFlow:
        service, route = request.service, request.route
        return LinkFlow(
            server.region,
            FlowKey(
                service.name,
                request.account,
                service.link_weight,
                route.may_wait,
            ),
        )

    def _check_retry(
        self, task: ForwardingTask, failed: AttemptFailed, attempts_left: int
    ) -> None:
        if task.caller.response_writer.has_begun:
            raise ConnectionError(failed.detail)
        is_safe = failed.ran is Ran.NOT_RUN or task.request.route.is_idempotent
        can_retry = is_safe and task.upload.can_replay and attempts_left > 0
        if can_retry and self._dispatcher.try_spend_retry():
            return
        raise RequestRefused(
            failed.code,
            failed.detail,
            ran=task.running.ran,
            retry_after_s=_RETRY_AFTER_S if is_safe else None,
        )

    def _request_head(self, task: ForwardingTask) -> RequestHead:
        caller, request = task.caller, task.request

        def make_headers() -> HTTPHeaders:
            headers = forwarded_headers(caller.headers, request.secret)
            headers.update(self._internal_headers(request))
            # HTTP/1.0 callers may omit Host, but HTTP/1.1 servers require it.
            headers.setdefault('Host', request.service.name)
            if not caller.has_body:
                if caller.method in BODY_METHODS:
                    headers['Content-Length'] = '0'
            elif 'Content-Length' not in headers:
                headers['Transfer-Encoding'] = 'chunked'
            return headers

        return RequestHead(caller.method, caller.target, make_headers)

    def _internal_headers(self, request: RoutedRequest) -> dict[str, str]:
        headers = {}
        if request.account:
            headers[ACCOUNT_HEADER] = request.account
        if request.request_id:
            headers[ID_HEADER] = request.request_id
        if request.deadline is not None:
            remaining_ms = (request.deadline - self._clock()) // MILLISECOND_NS
            headers[DEADLINE_HEADER] = str(max(1, remaining_ms))
        return headers


@frozen
class _SentMarker:
    running: RunningRequest

    def __call__(self) -> None:
        self.running.ran = Ran.UNKNOWN
