"""Serves requests of callers by backend servers that a platform lists."""

import asyncio
from collections.abc import Callable
from random import Random
from traceback import format_tb
from typing import Final

from attrs import define, field

from geraniumshelf_core.admission.verdict import Admitted, Rejected, judge
from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.placement.commands import (
    Outcome,
    begin_request,
    end_request,
    record_report,
    suspect_server,
)
from geraniumshelf_core.placement.queries import choose_server, usual_work
from geraniumshelf_core.placement.state import Choice, PlacementState, Wish
from geraniumshelf_core.shares.quotas import (
    Quotas,
    admit,
    wait_for_admission,
)
from geraniumshelf_core.shares.retries import (
    RetryShares,
    can_spend,
    earn,
    spend,
)
from geraniumshelf_core.site.model import Repeatability
from geraniumshelf_core.site.routing import RoutingTable
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.attempt import (
    Answer,
    AttemptTools,
    ServerAttempt,
)
from geraniumshelf_daemon.edge.budget import LineBudget, log_request
from geraniumshelf_daemon.edge.order import Order, check_request
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import relayed_headers
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric, time_metric
from geraniumshelf_daemon.upstream.links import LinkPacer
from geraniumshelf_daemon.upstream.progress import AttemptFailed
from geraniumshelf_daemon.upstream.upload import Upload

# Without an answer for this many times the usual work a server is suspected.
_SILENCE_RATIO: Final = 2
_LEAST_SILENCE_NS: Final[Nanoseconds] = 300 * MILLISECOND_NS
# An answer from another server takes about this many times the usual work.
_REPEAT_RATIO: Final = 1.5
_SERVER_ERRORS: Final = range(500, 600)


@define(eq=False)
class RelayState:
    """What the decisions about requests work on.

    Attributes:
        placement: Backend servers.
        quotas: Shares of the rates of client accounts.
        retries: Shares of the retry budgets.
        table: Routes and keys, ``None`` before the first configuration.
        lines: Budget of log lines.
        running: Requests that run now.
        is_stopping: Whether a graceful shutdown has begun.
    """

    placement: PlacementState
    quotas: Quotas
    retries: RetryShares
    table: RoutingTable | None = None
    lines: LineBudget = field(factory=LineBudget)
    running: int = 0
    is_stopping: bool = False


@define(eq=False)
class _Progress:
    """What is known of a request while it is served."""

    order: Order | None = None
    ran: Ran = Ran.NOT_RUN
    may_have_run: bool = False
    attempts: int = 0
    server: str = ''


class Relay:
    """Takes requests from arrival to answer."""

    def __init__(
        self,
        state: RelayState,
        tools: AttemptTools,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._state = state
        self._tools = tools
        self._clock = clock
        self._random = random
        self._pacer = LinkPacer('', clock)

    async def serve(self, caller: Caller) -> None:
        """Serve a request; every way out leaves a truthful answer."""
        progress = _Progress()
        started = self._clock()
        self._state.running += 1
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
            await self._refuse(caller, progress, _internal_fault())
        finally:
            self._state.running -= 1
            time_metric(Metric.REQUEST_TIME, self._clock() - started)

    async def _serve(self, caller: Caller, progress: _Progress) -> None:
        now = self._clock()
        fields = self._tools.codec.read_request(caller.headers)
        order = check_request(self._state.table, caller, fields, now)
        progress.order = order
        if order.route.repeatability is Repeatability.AT_MOST_ONCE:
            # A request behind an answer that closes the connection counts as
            # not read, so it must not have been sent on.
            await caller.wait_turn()
        self._check_quota(order, now)
        earn(self._state.retries, order.service, now)
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
        try:
            await _deliver(caller, attempt, answer)
        finally:
            attempt.close()
        self._log_served(order, progress, answer)

    async def _find_answer(
        self,
        caller: Caller,
        order: Order,
        upload: Upload,
        progress: _Progress,
    ) -> tuple[ServerAttempt, Answer]:
        excluded: frozenset[str] = frozenset()
        while True:
            choice = self._place(order, excluded, progress.ran)
            progress.server = choice.view.server.name
            try:
                return await self._ask(caller, order, choice, upload, progress)
            except AttemptFailed as failure:
                excluded |= {choice.view.server.name}
                self._check_repeat(order, upload, progress, failure)

    def _place(
        self, order: Order, excluded: frozenset[str], ran: Ran
    ) -> Choice:
        now = self._clock()
        wish = Wish(order.service, order.object_name, order.regions, excluded)
        choice = choose_server(self._state.placement, wish, now)
        verdict = judge(
            choice,
            order.arrived + order.route.target_latency - now,
            order.deadline - now,
            self._random.random(),
        )
        match verdict:
            case Admitted(admitted):
                return admitted
            case Rejected(retry_after):
                raise RequestRefused(
                    ResultCode.OVERLOADED
                    if choice
                    else ResultCode.NO_BACKEND_SERVER,
                    f'{order.service} cannot answer in time',
                    ran=ran,
                    retry_after_s=_rounded_s(retry_after),
                )

    async def _ask(
        self,
        caller: Caller,
        order: Order,
        choice: Choice,
        upload: Upload,
        progress: _Progress,
    ) -> tuple[ServerAttempt, Answer]:
        view, placement = choice.view, self._state.placement
        attempt = ServerAttempt(self._tools, order, view.server, upload)
        begin_request(placement, view, self._clock())
        outcome = Outcome()
        is_done = False
        try:
            await attempt.connect(caller)
            progress.attempts += 1
            progress.ran = Ran.UNKNOWN
            sent = self._clock()
            answer = await attempt.ask(
                caller, self._watch_silence(order, choice, sent, progress)
            )
            outcome = Outcome(
                is_failure=answer.status in _SERVER_ERRORS,
                work=max(1, self._clock() - sent - choice.travel),
                object_name=order.object_name,
            )
            is_done = True
        except AttemptFailed as failure:
            outcome = _outcome(failure)
            raise
        finally:
            if not is_done:
                attempt.close()
            if end_request(placement, view, outcome, self._clock()):
                log_event(Event.BACKEND_EJECTED, view.server.name)
        load = answer.fields.load
        if load is not None:
            record_report(view, load.running, load.waiting, self._clock())
        return attempt, answer

    def _watch_silence(
        self,
        order: Order,
        choice: Choice,
        sent: Nanoseconds,
        progress: _Progress,
    ) -> Callable[[], float | None]:
        placement = self._state.placement
        usual = usual_work(placement, order.service).cold
        patience = max(
            _LEAST_SILENCE_NS,
            choice.wait + round(usual * _SILENCE_RATIO),
            order.route.target_latency,
        )

        def wait_on() -> float | None:
            now = self._clock()
            if now < sent + patience:
                return ns_to_seconds(sent + patience - now)
            suspect_server(placement, choice.view, sent, now)
            if self._is_better_elsewhere(order, choice, progress, now):
                return None
            return ns_to_seconds(patience)

        return wait_on

    def _is_better_elsewhere(
        self,
        order: Order,
        choice: Choice,
        progress: _Progress,
        now: Nanoseconds,
    ) -> bool:
        """Tell whether a silent server is given up.

        Work that is given up is lost, so this needs a free server that would
        answer in time, and a repeat that the budget allows.
        """
        if (
            order.route.repeatability is not Repeatability.IDEMPOTENT
            or progress.attempts >= order.route.max_attempts
            or self._state.is_stopping
            or not can_spend(self._state.retries, order.service, now)
        ):
            return False
        other = choose_server(
            self._state.placement,
            Wish(
                order.service,
                order.object_name,
                order.regions,
                frozenset((choice.view.server.name,)),
            ),
            now,
        )
        left = order.deadline - now
        return (
            other is not None
            and other.wait == 0
            and other.total * _REPEAT_RATIO < left
        )

    def _check_repeat(
        self,
        order: Order,
        upload: Upload,
        progress: _Progress,
        failure: AttemptFailed,
    ) -> None:
        now = self._clock()
        is_sent = progress.attempts > 0
        is_safe = (
            failure.ran is Ran.NOT_RUN
            or order.route.repeatability is Repeatability.IDEMPOTENT
        )
        if failure.ran is not Ran.NOT_RUN:
            progress.may_have_run = True
        progress.ran = Ran.UNKNOWN if progress.may_have_run else Ran.NOT_RUN
        if (
            is_safe
            and upload.can_replay
            and progress.attempts < order.route.max_attempts
            and (not is_sent or spend(self._state.retries, order.service, now))
        ):
            count_metric(Metric.RETRIES)
            self._log(Event.REQUEST_RETRIED, failure.detail, order, progress)
            return
        self._log(Event.REQUEST_FAILED, failure.detail, order, progress)
        raise RequestRefused(
            failure.code,
            failure.detail,
            ran=progress.ran,
            retry_after_s=_retry_after(progress.ran, self._random),
        )

    def _check_quota(self, order: Order, now: Nanoseconds) -> None:
        quotas = self._state.quotas
        if admit(quotas, order.account_name, now):
            return
        wait = wait_for_admission(quotas, order.account_name)
        raise RequestRefused(
            ResultCode.RATE_EXCEEDED,
            f'{order.account_name} has used its rate',
            retry_after_s=_rounded_s(round(wait * (1 + self._random.random()))),
        )

    async def _refuse(
        self, caller: Caller, progress: _Progress, refusal: RequestRefused
    ) -> None:
        if caller.reply.has_begun:
            caller.reply.abort()
            return
        count_metric(Metric.REQUESTS_REFUSED)
        log_request(
            self._state.lines,
            Event.REQUEST_REFUSED,
            refusal.detail,
            self._clock(),
            code=refusal.code.name,
            request=progress.order.fields.request_id if progress.order else '',
            ran=refusal.ran.value,
            server=progress.server,
            retry_after_s=refusal.retry_after_s,
        )
        try:
            await caller.reply.refuse(refusal)
        except OSError:
            caller.reply.abort()

    def _log_served(
        self, order: Order, progress: _Progress, answer: Answer
    ) -> None:
        self._log(Event.REQUEST_SERVED, str(answer.status), order, progress)

    def _log(
        self, event: Event, detail: str, order: Order, progress: _Progress
    ) -> None:
        now = self._clock()
        log_request(
            self._state.lines,
            event,
            detail,
            now,
            request=order.fields.request_id,
            route=order.route.name,
            service=order.service,
            server=progress.server,
            attempts=progress.attempts,
            age_ms=(now - order.arrived) // 1_000_000,
        )


async def _deliver(
    caller: Caller, attempt: ServerAttempt, answer: Answer
) -> None:
    headers = relayed_headers(answer.headers)
    if answer.is_whole:
        if caller.method != 'HEAD':
            headers['Content-Length'] = str(len(answer.body))
        await caller.reply.answer(
            answer.status, answer.reason, headers, answer.body
        )
        return
    await caller.reply.begin(answer.status, answer.reason, headers, answer.body)
    while chunk := await attempt.next_chunk():
        await caller.reply.write(chunk)
    await caller.reply.end()


def _outcome(failure: AttemptFailed) -> Outcome:
    match failure.code:
        case ResultCode.BACKEND_REFUSED if failure.is_failure:
            return Outcome(is_failure=True, is_unreachable=True)
        case ResultCode.BACKEND_REFUSED:
            return Outcome(is_shed=True)
        case _:
            return Outcome(is_failure=True)


def _retry_after(ran: Ran, random: Random) -> float | None:
    if ran is not Ran.NOT_RUN:
        return None
    return round(0.2 + random.random() / 2, 3)


def _rounded_s(wait: Nanoseconds) -> float:
    return round(max(ns_to_seconds(wait), 0.05), 3)


def _internal_fault() -> RequestRefused:
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'the daemon failed while serving the request',
        ran=Ran.UNKNOWN,
    )
