"""Runs an admitted request on a backend server and relays the answer."""

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
_MOST_ATTEMPTS: Final = 3
# A backend server that shed load or refused is likely to take work soon.
_RETRY_AFTER_S: Final = 1


@frozen
class Task:
    """One admitted request on its way.

    Attributes:
        caller: The connection to the caller.
        order: What is to be run.
        running: Its entry among the running requests.
        upload: Its body.
    """

    caller: Caller
    order: RoutedRequest
    running: RunningRequest
    upload: Upload


class Forwarder:
    """Chooses backend servers for requests until one answers."""

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
        self, caller: Caller, order: RoutedRequest, running: RunningRequest
    ) -> Finished:
        """Run a request, relay the answer and return what to remember.

        Raises:
            RequestRefused: If no server answered; the answer has not begun.
            ConnectionError: If the answer was cut short after it had begun.
        """
        task = Task(
            caller,
            order,
            running,
            Upload(caller.body, self._pacer, has_body=caller.has_body),
        )
        need = DispatchRequest(
            order.service.name,
            order.account,
            order.route.may_wait,
            order.give_up_at,
        )
        for attempts_left in reversed(range(_MOST_ATTEMPTS)):
            server = await self._dispatcher.reserve(need)
            try:
                return await self._attempt(task, server)
            except AttemptFailed as failed:
                self._check_retry(task, failed, attempts_left)
            need = evolve(need, excluded=need.excluded | {server.server.name})
        raise AssertionError('the last attempt raises')

    async def _attempt(self, task: Task, server: ServerState) -> Finished:
        failure: AttemptFailed | None = None
        before = task.running.ran
        attempt = Attempt(
            self._pool,
            server.server.address,
            task.order.service.progress_timeout_ms / _MS_PER_S,
            task.upload,
            self._passage(task.order, server),
        )
        try:
            head = await attempt.start(
                self._request_head(task), _Marker(task.running)
            )
            task.running.ran = Ran.RAN
            return await self._relay(task, attempt, head)
        except AttemptFailed as failed:
            failure = failed
            # An earlier attempt may have run, whatever became of this one.
            if before is Ran.NOT_RUN:
                task.running.ran = failed.ran
            raise
        finally:
            attempt.close()
            self._dispatcher.release(
                server,
                is_failure=failure is not None and failure.is_failure,
                is_shed=failure is not None and not failure.is_failure,
            )

    async def _relay(
        self, task: Task, attempt: Attempt, head: ResponseHead
    ) -> Finished:
        status, reason, headers = head
        relayed = relayed_headers(headers)
        reply = task.caller.reply
        timeout_s = task.order.service.progress_timeout_ms / _MS_PER_S
        kept = bytearray()
        try:
            await with_timeout(timeout_s, reply.begin(status, reason, relayed))
            while chunk := await attempt.next_chunk():
                await self._pacer.receive(attempt.link_flow, len(chunk))
                if len(kept) <= MAX_KEPT_BODY_BYTES:
                    kept += chunk
                await with_timeout(timeout_s, reply.write(chunk))
        except SilentError as error:
            raise ConnectionError('the caller stopped reading') from error
        await attempt.retain_connection()
        await reply.end()
        is_kept = len(kept) <= MAX_KEPT_BODY_BYTES
        return Finished(
            status,
            tuple(relayed.get_all()),
            bytes(kept) if is_kept else None,
        )

    def _passage(self, order: RoutedRequest, server: ServerState) -> LinkFlow:
        service, route = order.service, order.route
        return LinkFlow(
            server.region,
            FlowKey(
                service.name,
                order.account,
                service.link_weight,
                route.may_wait,
            ),
        )

    def _check_retry(
        self, task: Task, failed: AttemptFailed, attempts_left: int
    ) -> None:
        if task.caller.reply.has_begun:
            raise ConnectionError(failed.detail)
        is_safe = failed.ran is Ran.NOT_RUN or task.order.route.is_idempotent
        can_retry = is_safe and task.upload.can_replay and attempts_left > 0
        if can_retry and self._dispatcher.try_spend_retry():
            return
        raise RequestRefused(
            failed.code,
            failed.detail,
            ran=task.running.ran,
            retry_after_s=_RETRY_AFTER_S if is_safe else None,
        )

    def _request_head(self, task: Task) -> RequestHead:
        caller, order = task.caller, task.order

        def make_headers() -> HTTPHeaders:
            headers = forwarded_headers(caller.headers, order.secret)
            headers.update(self._own_headers(order))
            # Callers of HTTP/1.0 need not send it, but servers require it.
            headers.setdefault('Host', order.service.name)
            if not caller.has_body:
                if caller.method in BODY_METHODS:
                    headers['Content-Length'] = '0'
            elif 'Content-Length' not in headers:
                headers['Transfer-Encoding'] = 'chunked'
            return headers

        return RequestHead(caller.method, caller.target, make_headers)

    def _own_headers(self, order: RoutedRequest) -> dict[str, str]:
        headers = {}
        if order.account:
            headers[ACCOUNT_HEADER] = order.account
        if order.request_id:
            headers[ID_HEADER] = order.request_id
        if order.deadline is not None:
            left = (order.deadline - self._clock()) // MILLISECOND_NS
            headers[DEADLINE_HEADER] = str(max(1, left))
        return headers


@frozen
class _Marker:
    running: RunningRequest

    def __call__(self) -> None:
        self.running.ran = Ran.UNKNOWN
