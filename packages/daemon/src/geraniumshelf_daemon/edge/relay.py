"""Relays requests of callers to backend servers that a platform lists."""

import asyncio
from collections.abc import Callable
from random import Random
from traceback import format_tb

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.cold_starts import record_send, reserved_send
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
)
from geraniumshelf_core.placement.estimates import typical_work
from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.site.model import Repeatability
from geraniumshelf_core.units import (
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.attempt import (
    AttemptDependencies,
    ServerAttempt,
    ServerResponse,
)
from geraniumshelf_daemon.edge.delivery import (
    make_upload,
    refuse_caller,
    relay_response,
)
from geraniumshelf_daemon.edge.grace import collect_body
from geraniumshelf_daemon.edge.interface import CallerFields, ReportedLoad
from geraniumshelf_daemon.edge.loading import LoadingPath
from geraniumshelf_daemon.edge.outcomes import (
    failure_outcome,
    log_progress,
    make_internal_fault,
    measure_run,
    retry_delay_s,
    run_outcome,
)
from geraniumshelf_daemon.edge.permits import ServerPermits
from geraniumshelf_daemon.edge.rejections import end_attempt
from geraniumshelf_daemon.edge.routed_request import (
    RoutedRequest,
    make_placement_request,
    route_caller,
)
from geraniumshelf_daemon.edge.server_selection import ServerSelector
from geraniumshelf_daemon.edge.state import (
    EdgeState,
    RequestProgress,
    count_demand,
)
from geraniumshelf_daemon.edge.tokens import AccountTokens
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric, time_metric
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.progress import AttemptFailed
from geraniumshelf_daemon.upstream.upload import Upload


class Relay:
    """Serves requests from their arrival to the end of the response.

    Args:
        clock: Returns the current time, nanoseconds.
        random: Adds jitter to the retry delay of refused requests.
        loading: Serves requests until the daemon has loaded.
    """

    def __init__(
        self,
        state: EdgeState,
        dependencies: AttemptDependencies,
        tokens: AccountTokens,
        permits: ServerPermits,
        clock: Callable[[], Nanoseconds],
        random: Random,
        loading: LoadingPath,
    ) -> None:
        self._loading = loading
        self._state = state
        self._shared = dependencies
        self._clock = clock
        self._random = random
        self._tokens = tokens
        self._permits = permits
        self._selector = ServerSelector(state, clock, random)
        self._pacer = LinkPacer('', clock)

    async def serve(self, caller: Caller) -> None:
        """Serve a request; on failure state whether it ran or disconnect."""
        progress = RequestProgress()
        arrived_at = self._clock()
        self._state.in_flight += 1
        try:
            await self._serve_or_forward(caller, progress, arrived_at)
        except RequestRefused as refusal:
            await refuse_caller(
                self._state, caller, progress, refusal, self._clock()
            )
        except (asyncio.CancelledError, OSError):
            caller.response_writer.abort()
        except Exception as error:
            lines = ''.join(format_tb(error.__traceback__))
            log_event(Event.TASK_FAILED, f'{type(error).__name__}\n{lines}')
            fault = make_internal_fault()
            await refuse_caller(
                self._state, caller, progress, fault, self._clock()
            )
        finally:
            self._state.in_flight -= 1
            time_metric(Metric.REQUEST_TIME, self._clock() - arrived_at)

    async def _serve_or_forward(
        self, caller: Caller, progress: RequestProgress, now: Nanoseconds
    ) -> None:
        forwarder = self._loading.forwarder
        target = forwarder.find_target(caller, now)
        if target is not None:
            await forwarder.forward(caller, target, progress, now)
            return
        self._state.last_request_at = now
        self._state.request_count += 1
        count_metric(Metric.REQUESTS)
        await self._serve(caller, progress)

    async def _serve(self, caller: Caller, progress: RequestProgress) -> None:
        now = self._clock()
        await self._loading.gate.wait(now)
        fields = self._shared.codec.read_request(caller.headers)
        request = self._route(caller, fields, now)
        progress.request = request
        table = self._state.table
        if request.route.repeatability is Repeatability.AT_MOST_ONCE:
            # If the response to an earlier request closes the connection, this
            # one counts as not read and must not have reached a server.
            await caller.wait_for_earlier_responses()
        if not await self._tokens.acquire(
            request.account_name,
            request.route.target_latency,
            request.token_priority,
        ):
            wait = self._tokens.state_retry(request.account_name)
            raise self._selector.make_rate_refusal(request, progress, wait)
        if self._state.table is not table:
            # The route or the key may have been removed during the wait.
            request = self._route(caller, fields, now)
            progress.request = request
        now = self._clock()
        count_demand(self._state, request.service, now)
        upload = make_upload(caller, self._pacer)
        time_left = max(0, request.deadline - now)
        try:
            async with asyncio.timeout(ns_to_seconds(time_left)) as scope:
                await collect_body(self._state, upload, progress, now)
                attempt, response = await self._obtain_response(
                    caller, request, upload, progress
                )
                # The deadline does not limit how slowly the caller reads.
                scope.reschedule(None)
        except TimeoutError as error:
            raise RequestRefused(
                ResultCode.DEADLINE_EXCEEDED,
                'no response before the deadline',
                ran=progress.ran,
            ) from error
        try:
            await relay_response(
                caller, attempt, response, request.deadline, self._clock()
            )
        finally:
            attempt.close()
        self._log(Event.REQUEST_SERVED, str(response.status), request, progress)

    def _route(
        self, caller: Caller, fields: CallerFields, now: Nanoseconds
    ) -> RoutedRequest:
        table = self._state.table if self._state.is_loaded else None
        return route_caller(table, caller, fields, now)

    async def _obtain_response(
        self,
        caller: Caller,
        request: RoutedRequest,
        upload: Upload,
        progress: RequestProgress,
    ) -> tuple[ServerAttempt, ServerResponse]:
        excluded: frozenset[str] = frozenset()
        while True:
            query = make_placement_request(request, excluded)
            await self._permits.acquire(query)
            choice = self._selector.select(request, query, progress)
            progress.server = choice.view.server.name
            try:
                return await self._try_server(
                    caller, request, choice, upload, progress
                )
            except AttemptFailed as failure:
                excluded |= {choice.view.server.name}
                self._check_retry(request, upload, progress, failure)

    async def _try_server(
        self,
        caller: Caller,
        request: RoutedRequest,
        choice: Candidate,
        upload: Upload,
        progress: RequestProgress,
    ) -> tuple[ServerAttempt, ServerResponse]:
        view, placement = choice.view, self._state.placement
        attempt = ServerAttempt(self._shared, request, view, upload)
        begin_request(placement, view)
        outcome = Outcome()
        response: ServerResponse | None = None
        load: ReportedLoad | None = None
        try:
            response, outcome = await self._exchange(
                caller, request, choice, attempt, progress
            )
            load = response.fields.load
        except AttemptFailed as failure:
            now = self._clock()
            outcome = failure_outcome(failure, placement, view, now)
            progress.was_rejected_partially |= outcome.is_partial
            load = failure.load
            raise
        finally:
            if response is None:
                attempt.close()
            end_attempt(placement, view, outcome, load, self._clock())
        return attempt, response

    async def _exchange(
        self,
        caller: Caller,
        request: RoutedRequest,
        choice: Candidate,
        attempt: ServerAttempt,
        progress: RequestProgress,
    ) -> tuple[ServerResponse, Outcome]:
        chosen_at = self._clock()
        with reserved_send(choice.view):
            await attempt.connect(caller)
            self._selector.confirm(request, choice, progress, chosen_at)
        progress.attempts += 1
        progress.ran = Ran.UNKNOWN
        sent_at = self._clock()
        record_send(choice.view, sent_at)
        response = await attempt.send_request(
            caller, self._selector.cap_wait(request, choice, sent_at, progress)
        )
        now = self._clock()
        typical = typical_work(self._state.placement, request.service)
        work = measure_run(typical, choice, now - sent_at, now)
        return response, run_outcome(response.status, work, request.object_name)

    def _check_retry(
        self,
        request: RoutedRequest,
        upload: Upload,
        progress: RequestProgress,
        failure: AttemptFailed,
    ) -> None:
        now = self._clock()
        if failure.ran is not Ran.NOT_RUN:
            progress.may_have_run = True
        progress.ran = Ran.UNKNOWN if progress.may_have_run else Ran.NOT_RUN
        if upload.can_replay and self._selector.try_spend_retry(
            request, progress, failure, now
        ):
            count_metric(Metric.RETRIES)
            self._log(Event.REQUEST_RETRIED, failure.detail, request, progress)
            return
        self._log(Event.REQUEST_FAILED, failure.detail, request, progress)
        raise RequestRefused(
            failure.code,
            failure.detail,
            ran=progress.ran,
            retry_after_s=retry_delay_s(progress, self._random),
        )

    def _log(
        self,
        event: Event,
        detail: str,
        request: RoutedRequest,
        progress: RequestProgress,
    ) -> None:
        log_progress(
            self._state.log_budget,
            event,
            detail,
            request,
            progress,
            self._clock(),
        )
