"""Serves requests of callers by backend servers that a platform lists."""

import asyncio
from collections.abc import Callable
from random import Random
from traceback import format_tb
from typing import Final

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    record_report,
)
from geraniumshelf_core.placement.queries import typical_work
from geraniumshelf_core.placement.state import Candidate
from geraniumshelf_core.shares.retries import earn_retries
from geraniumshelf_core.site.model import Repeatability
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.attempt import (
    Answer,
    AttemptDependencies,
    ServerAttempt,
)
from geraniumshelf_daemon.edge.delivery import deliver
from geraniumshelf_daemon.edge.interface import CallerFields
from geraniumshelf_daemon.edge.loading import LoadingGate
from geraniumshelf_daemon.edge.log_budget import log_request
from geraniumshelf_daemon.edge.outcomes import (
    count_refusal,
    count_run,
    internal_fault,
    outcome_of,
    outcome_of_answer,
    time_to_return,
)
from geraniumshelf_daemon.edge.placing import Placer
from geraniumshelf_daemon.edge.routed_request import (
    RoutedRequest,
    check_request,
)
from geraniumshelf_daemon.edge.state import RelayState, RequestProgress
from geraniumshelf_daemon.edge.tokens import AccountTokens
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric, time_metric
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.progress import AttemptFailed
from geraniumshelf_daemon.upstream.upload import Upload

# A body may go on for this time after the deadline, as callers may read
# slowly; a server that sends without end is cut off then.
_DELIVERY_S: Final = 30
_DELIVERY_NS: Final[Nanoseconds] = _DELIVERY_S * SECOND_NS


class Relay:
    """Takes requests from arrival to answer.

    Args:
        state: What the decisions about requests work on.
        tools: What all attempts share.
        tokens: Gives out the tokens of accounts.
        clock: Returns the current time, nanoseconds.
        random: Spreads the returns of refused requests.
        gate: Holds requests until the daemon has loaded.
    """

    def __init__(
        self,
        state: RelayState,
        tools: AttemptDependencies,
        tokens: AccountTokens,
        clock: Callable[[], Nanoseconds],
        random: Random,
        gate: LoadingGate,
    ) -> None:
        self._gate = gate
        self._state = state
        self._tools = tools
        self._clock = clock
        self._random = random
        self._tokens = tokens
        self._placer = Placer(state, clock, random)
        self._pacer = LinkPacer('', clock)

    async def serve(self, caller: Caller) -> None:
        """Serve a request; every way out leaves a truthful answer."""
        progress = RequestProgress()
        started = self._clock()
        self._state.in_flight += 1
        self._state.last_request_at = started
        self._state.request_count += 1
        count_metric(Metric.REQUESTS)
        try:
            await self._serve(caller, progress)
        except RequestRefused as refusal:
            await self._refuse(caller, progress, refusal)
        except (asyncio.CancelledError, OSError):
            caller.reply.abort()
        except Exception as error:
            lines = ''.join(format_tb(error.__traceback__))
            log_event(Event.TASK_FAILED, f'{type(error).__name__}\n{lines}')
            await self._refuse(caller, progress, internal_fault())
        finally:
            self._state.in_flight -= 1
            time_metric(Metric.REQUEST_TIME, self._clock() - started)

    async def _serve(self, caller: Caller, progress: RequestProgress) -> None:
        now = self._clock()
        await self._gate.wait(now)
        fields = self._tools.codec.read_request(caller.headers)
        order = self._check(caller, fields, now)
        progress.order = order
        table = self._state.table
        if order.route.repeatability is Repeatability.AT_MOST_ONCE:
            # A request behind an answer that closes the connection counts as
            # not read, so it must not have been sent on.
            await caller.wait_for_earlier_responses()
        if not await self._tokens.acquire(
            order.account_name, order.route.target_latency
        ):
            wait = self._tokens.time_to_token(order.account_name)
            raise self._placer.refuse_over_quota(order, progress, wait)
        if self._state.table is not table:
            # The route or the key may have gone while the request waited.
            order = self._check(caller, fields, now)
            progress.order = order
        now = self._clock()
        earn_retries(self._state.retries, order.service, now)
        upload = Upload(caller.body, self._pacer, has_body=caller.has_body)
        left = max(0, order.deadline - now)
        try:
            async with asyncio.timeout(ns_to_seconds(left)) as limit:
                attempt, answer = await self._find_answer(
                    caller, order, upload, progress
                )
                # The time that a caller takes to read isn't the server's.
                limit.reschedule(None)
        except TimeoutError as error:
            raise RequestRefused(
                ResultCode.DEADLINE_EXCEEDED,
                'no answer before the deadline',
                ran=progress.ran,
            ) from error
        left = max(0, order.deadline - self._clock()) + _DELIVERY_NS
        try:
            async with asyncio.timeout(ns_to_seconds(left)):
                await deliver(caller, attempt, answer)
        finally:
            attempt.close()
        self._log(Event.REQUEST_SERVED, str(answer.status), order, progress)

    def _check(
        self, caller: Caller, fields: CallerFields, now: Nanoseconds
    ) -> RoutedRequest:
        table = self._state.table if self._state.is_loaded else None
        return check_request(table, caller, fields, now)

    async def _find_answer(
        self,
        caller: Caller,
        order: RoutedRequest,
        upload: Upload,
        progress: RequestProgress,
    ) -> tuple[ServerAttempt, Answer]:
        excluded: frozenset[str] = frozenset()
        while True:
            choice = self._placer.place(order, excluded, progress)
            progress.server = choice.view.server.name
            try:
                return await self._ask(caller, order, choice, upload, progress)
            except AttemptFailed as failure:
                excluded |= {choice.view.server.name}
                self._check_repeat(order, upload, progress, failure)

    async def _ask(
        self,
        caller: Caller,
        order: RoutedRequest,
        choice: Candidate,
        upload: Upload,
        progress: RequestProgress,
    ) -> tuple[ServerAttempt, Answer]:
        view, placement = choice.view, self._state.placement
        attempt = ServerAttempt(self._tools, order, view, upload)
        begin_request(placement, view, self._clock())
        outcome = Outcome()
        answer: Answer | None = None
        try:
            answer, outcome = await self._exchange(
                caller, order, choice, attempt, progress
            )
        except AttemptFailed as failure:
            outcome = outcome_of(failure)
            raise
        finally:
            if answer is None:
                attempt.close()
            if end_request(placement, view, outcome, self._clock()):
                log_event(Event.BACKEND_EJECTED, view.server.name)
        load = answer.fields.load
        if load is not None:
            record_report(view, load.running, load.waiting, self._clock())
        return attempt, answer

    async def _exchange(
        self,
        caller: Caller,
        order: RoutedRequest,
        choice: Candidate,
        attempt: ServerAttempt,
        progress: RequestProgress,
    ) -> tuple[Answer, Outcome]:
        chosen = self._clock()
        await attempt.connect(caller)
        self._placer.confirm(order, choice, progress, chosen)
        progress.attempts += 1
        progress.ran = Ran.UNKNOWN
        sent = self._clock()
        answer = await attempt.ask(
            caller, self._placer.watch_silence(order, choice, sent, progress)
        )
        work = max(1, self._clock() - sent - choice.network_delay)
        count_run(typical_work(self._state.placement, order.service), work)
        return answer, outcome_of_answer(answer.status, work, order.object_name)

    def _check_repeat(
        self,
        order: RoutedRequest,
        upload: Upload,
        progress: RequestProgress,
        failure: AttemptFailed,
    ) -> None:
        now = self._clock()
        if failure.ran is not Ran.NOT_RUN:
            progress.may_have_run = True
        progress.ran = Ran.UNKNOWN if progress.may_have_run else Ran.NOT_RUN
        if upload.can_replay and self._placer.may_repeat(
            order, progress, failure, now
        ):
            count_metric(Metric.RETRIES)
            self._log(Event.REQUEST_RETRIED, failure.detail, order, progress)
            return
        self._log(Event.REQUEST_FAILED, failure.detail, order, progress)
        raise RequestRefused(
            failure.code,
            failure.detail,
            ran=progress.ran,
            retry_after_s=time_to_return(progress.ran, self._random),
        )

    async def _refuse(
        self, caller: Caller, progress: RequestProgress, refusal: RequestRefused
    ) -> None:
        if caller.reply.has_begun:
            caller.reply.abort()
            return
        count_refusal(refusal.code)
        log_request(
            self._state.log_budget,
            Event.REQUEST_REFUSED,
            refusal.detail,
            self._clock(),
            code=refusal.code.name,
            request=progress.order.fields.request_id if progress.order else '',
            ran=refusal.ran.value,
            server=progress.server,
            inputs=progress.inputs,
            retry_after_s=refusal.retry_after_s,
        )
        try:
            await caller.reply.refuse(refusal)
        except OSError:
            caller.reply.abort()

    def _log(
        self,
        event: Event,
        detail: str,
        order: RoutedRequest,
        progress: RequestProgress,
    ) -> None:
        now = self._clock()
        log_request(
            self._state.log_budget,
            event,
            detail,
            now,
            request=order.fields.request_id,
            route=order.route.name,
            service=order.service,
            server=progress.server,
            attempts=progress.attempts,
            age_ms=(now - order.arrived) // MILLISECOND_NS,
        )
