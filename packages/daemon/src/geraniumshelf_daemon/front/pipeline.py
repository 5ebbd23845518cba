"""Serves one request of a caller from arrival to answer."""

import asyncio
from collections.abc import Callable
from traceback import format_tb
from typing import Final
from urllib.parse import parse_qs

from attrs import frozen
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.idempotency.state import (
    Done,
    Finished,
    Full,
    InProgress,
    Lost,
    NotRun,
    Run,
    RunOutcome,
    Verdict,
)
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.front.admission import RequestGate, RoutedRequest
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.forwarding import Forwarder
from geraniumshelf_daemon.front.headers import RAN_HEADER
from geraniumshelf_daemon.front.interface import (
    AllowanceSource,
    LookupSource,
    TrafficMeter,
)
from geraniumshelf_daemon.front.running import (
    RunningRequest,
    RunningRequests,
)
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.idempotency.grant import RunGrant
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric, time_metric

LOOKUP_PATH: Final = '/v1/lookup'

_OK: Final = 200


@frozen
class Sources:
    """The parts of the daemon that the pipeline asks.

    Attributes:
        gate: Checks route, deadline and key.
        lookups: Tells callers which entry instance to use.
        allowances: Holds rates and bursts.
        decider: Decides whether a request id may run.
        meter: Measures traffic by source region.
        forwarder: Runs requests on backend servers.
        clock: Returns the current time, nanoseconds.
    """

    gate: RequestGate
    lookups: LookupSource
    allowances: AllowanceSource
    decider: RunDecider
    meter: TrafficMeter
    forwarder: Forwarder
    clock: Callable[[], Nanoseconds]


class Pipeline:
    """Takes requests through all steps, in the order of the design."""

    def __init__(self, sources: Sources) -> None:
        self._sources = sources
        self._running = RunningRequests()

    @property
    def running(self) -> RunningRequests:
        """Return the requests that run now."""
        return self._running

    async def serve(self, caller: Caller) -> None:
        """Serve a request; every way out leaves a truthful answer."""
        running = self._running.add()
        started = self._sources.clock()
        try:
            await self._serve_truthfully(caller, running)
        except OSError:
            log_event(Event.REQUEST_CUT)
            caller.reply.abort()
        except Exception as error:
            _log_fault(error)
            await _refuse(caller, _internal_fault(running))
        finally:
            self._running.remove(running)
            self._measure(caller, self._sources.clock() - started)

    def _measure(self, caller: Caller, duration: Nanoseconds) -> None:
        if caller.target.startswith(LOOKUP_PATH):
            count_metric(Metric.LOOKUPS)
            time_metric(Metric.LOOKUP_TIME, duration)
        else:
            count_metric(Metric.REQUESTS)
            time_metric(Metric.REQUEST_TIME, duration)

    async def _serve_truthfully(
        self, caller: Caller, running: RunningRequest
    ) -> None:
        try:
            await self._serve(caller, running)
        except RequestRefused as refusal:
            await _refuse(caller, _with_attempts(refusal, running))
        except asyncio.CancelledError:
            await _refuse(caller, running.refusal)

    async def _serve(self, caller: Caller, running: RunningRequest) -> None:
        path, _, query = caller.target.partition('?')
        if path == LOOKUP_PATH:
            await self._answer_lookup(caller, query)
            return
        order = self._sources.gate.check(caller)
        running.digest = order.digest
        running.account = order.account
        if order.deadline is None:
            await self._decide(caller, order, running)
            return
        left = order.deadline - self._sources.clock()
        try:
            async with asyncio.timeout(ns_to_seconds(left)):
                await self._decide(caller, order, running)
        except TimeoutError as error:
            raise RequestRefused(
                ResultCode.DEADLINE_EXCEEDED,
                'no answer before the deadline',
                ran=running.ran,
            ) from error

    async def _answer_lookup(self, caller: Caller, query: str) -> None:
        if caller.method not in {'GET', 'HEAD'}:
            raise RequestRefused(
                ResultCode.METHOD_NOT_ALLOWED, 'look-ups are GET requests'
            )
        fields = parse_qs(query)
        answer = self._sources.lookups.answer(
            fields.get('service', [''])[0],
            fields.get('client', [caller.address])[0],
            self._sources.clock(),
        )
        headers = HTTPHeaders()
        headers['Content-Type'] = 'application/json'
        headers['Content-Length'] = str(len(answer.body))
        headers['Cache-Control'] = f'max-age={answer.ttl_s}'
        await caller.reply.answer(_OK, 'OK', headers, answer.body)

    async def _decide(
        self, caller: Caller, order: RoutedRequest, running: RunningRequest
    ) -> None:
        if order.route.is_idempotent or not order.request_id:
            await self._run(caller, order, running)
            return
        decider = self._sources.decider
        grant, verdict = await decider.decide(order.account, order.request_id)
        if not isinstance(verdict, Run):
            await _answer_verdict(caller, verdict)
            return
        outcome: RunOutcome = Lost()
        try:
            outcome = await self._run(caller, order, running)
        finally:
            self._report(grant, outcome, running)

    async def _run(
        self, caller: Caller, order: RoutedRequest, running: RunningRequest
    ) -> Finished:
        if order.account:
            await self._sources.allowances.acquire(
                order.account, order.give_up_at
            )
        service, client = order.service.name, caller.address
        meter, clock = self._sources.meter, self._sources.clock
        meter.record_start(service, client, clock())
        try:
            return await self._sources.forwarder.run(caller, order, running)
        finally:
            meter.record_completion(service, client, clock())

    def _report(
        self, grant: RunGrant, outcome: RunOutcome, running: RunningRequest
    ) -> None:
        is_lost = isinstance(outcome, Lost)
        if is_lost and running.ran is Ran.NOT_RUN:
            outcome = NotRun()
        self._sources.decider.report_outcome(grant, outcome)


async def _answer_verdict(caller: Caller, verdict: Verdict) -> None:
    match verdict:
        case Done(Finished(status, pairs, body)) if body is not None:
            headers = HTTPHeaders()
            for name, text in pairs:
                headers.add(name, text)
            headers['Content-Length'] = str(len(body))
            headers[RAN_HEADER] = Ran.RAN.value
            await caller.reply.answer(status, 'Repeated', headers, body)
        case Done():
            raise RequestRefused(
                ResultCode.ALREADY_RUN,
                'it was run; its answer was not kept',
                ran=Ran.RAN,
            )
        case InProgress():
            raise RequestRefused(
                ResultCode.IN_PROGRESS,
                'it is being run',
                ran=Ran.UNKNOWN,
                retry_after_s=1,
            )
        case Full():
            raise RequestRefused(
                ResultCode.OVERLOADED,
                'no room to record another run',
                retry_after_s=60,
            )
        case _:
            raise RequestRefused(
                ResultCode.OUTCOME_UNKNOWN,
                getattr(verdict, 'reason', 'nobody knows whether it ran'),
                ran=Ran.UNKNOWN,
            )


def _with_attempts(
    refusal: RequestRefused, running: RunningRequest
) -> RequestRefused:
    # Whoever refuses knows nothing of what was sent to a server before.
    if refusal.ran is not Ran.NOT_RUN or running.ran is Ran.NOT_RUN:
        return refusal
    return RequestRefused(
        refusal.code,
        refusal.detail,
        ran=running.ran,
        retry_after_s=refusal.retry_after_s,
    )


async def _refuse(caller: Caller, refusal: RequestRefused | None) -> None:
    if refusal is None or caller.reply.has_begun:
        caller.reply.abort()
        return
    # A flood of requests that never ran must not flood the log as well.
    if refusal.ran is not Ran.NOT_RUN:
        log_event(Event.REQUEST_REFUSED, refusal.code.name)
    count_metric(Metric.REQUESTS_REFUSED)
    try:
        await caller.reply.refuse(refusal)
    except OSError:
        caller.reply.abort()


def _log_fault(error: Exception) -> None:
    # The log's own traceback shows values of variables, among them keys, and
    # the text of an error may quote a header.
    lines = ''.join(format_tb(error.__traceback__))
    log_event(Event.TASK_FAILED, f'{type(error).__name__}\n{lines}')


def _internal_fault(running: RunningRequest) -> RequestRefused:
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'the daemon failed while serving the request',
        ran=running.ran,
    )
