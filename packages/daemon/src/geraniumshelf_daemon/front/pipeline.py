"""Serves a request of a caller from arrival to response."""

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
class PipelineDependencies:
    """Dependencies of the pipeline on other parts of the daemon.

    Attributes:
        gate: Checks the route, the deadline and the key.
        lookups: Finds the entry instances a caller should use.
        allowances: Enforces the rate and burst of each client account.
        decider: Decides whether a request with a request id may run.
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
    """Takes requests through admission, deduplication and forwarding."""

    def __init__(self, dependencies: PipelineDependencies) -> None:
        self._dependencies = dependencies
        self._running = RunningRequests()

    @property
    def running(self) -> RunningRequests:
        """Return the running requests."""
        return self._running

    async def serve(self, caller: Caller) -> None:
        """Serve a request.

        On failure the caller gets either a refusal that states whether the
        request ran or a reset connection, never a response that looks complete.
        """
        running = self._running.add()
        started = self._dependencies.clock()
        try:
            await self._serve_or_refuse(caller, running)
        except OSError:
            log_event(Event.REQUEST_CUT)
            caller.response_writer.abort()
        except Exception as error:
            _log_fault(error)
            await _refuse(caller, _internal_fault(running))
        finally:
            self._running.remove(running)
            self._record_metrics(caller, self._dependencies.clock() - started)

    def _record_metrics(self, caller: Caller, duration: Nanoseconds) -> None:
        if caller.target.startswith(LOOKUP_PATH):
            count_metric(Metric.LOOKUPS)
            time_metric(Metric.LOOKUP_TIME, duration)
        else:
            count_metric(Metric.REQUESTS)
            time_metric(Metric.REQUEST_TIME, duration)

    async def _serve_or_refuse(
        self, caller: Caller, running: RunningRequest
    ) -> None:
        try:
            await self._serve(caller, running)
        except RequestRefused as refusal:
            await _refuse(caller, _with_ran_state(refusal, running))
        except asyncio.CancelledError:
            await _refuse(caller, running.refusal)

    async def _serve(self, caller: Caller, running: RunningRequest) -> None:
        path, _, query = caller.target.partition('?')
        if path == LOOKUP_PATH:
            await self._serve_lookup(caller, query)
            return
        request = self._dependencies.gate.check(caller)
        running.digest = request.digest
        running.account = request.account
        if request.deadline is None:
            await self._run_deduplicated(caller, request, running)
            return
        remaining = request.deadline - self._dependencies.clock()
        try:
            async with asyncio.timeout(ns_to_seconds(remaining)):
                await self._run_deduplicated(caller, request, running)
        except TimeoutError as error:
            raise RequestRefused(
                ResultCode.DEADLINE_EXCEEDED,
                'the deadline passed before the response was complete',
                ran=running.ran,
            ) from error

    async def _serve_lookup(self, caller: Caller, query: str) -> None:
        if caller.method not in {'GET', 'HEAD'}:
            raise RequestRefused(
                ResultCode.METHOD_NOT_ALLOWED,
                f'look-ups allow GET and HEAD, not {caller.method}',
            )
        fields = parse_qs(query)
        response = self._dependencies.lookups.look_up(
            fields.get('service', [''])[0],
            fields.get('client', [caller.address])[0],
            self._dependencies.clock(),
        )
        headers = HTTPHeaders()
        headers['Content-Type'] = 'application/json'
        headers['Content-Length'] = str(len(response.body))
        headers['Cache-Control'] = f'max-age={response.ttl_s}'
        await caller.response_writer.send_response(
            _OK, 'OK', headers, response.body
        )

    async def _run_deduplicated(
        self, caller: Caller, request: RoutedRequest, running: RunningRequest
    ) -> None:
        if request.route.is_idempotent or not request.request_id:
            await self._run(caller, request, running)
            return
        decider = self._dependencies.decider
        grant, verdict = await decider.decide(
            request.account, request.request_id
        )
        if not isinstance(verdict, Run):
            await _respond_to_verdict(caller, verdict)
            return
        outcome: RunOutcome = Lost()
        try:
            outcome = await self._run(caller, request, running)
        finally:
            self._report_outcome(grant, outcome, running)

    async def _run(
        self, caller: Caller, request: RoutedRequest, running: RunningRequest
    ) -> Finished:
        if request.account:
            await self._dependencies.allowances.acquire(
                request.account, request.wait_deadline
            )
        service, client = request.service.name, caller.address
        meter, clock = self._dependencies.meter, self._dependencies.clock
        meter.record_start(service, client, clock())
        try:
            return await self._dependencies.forwarder.run(
                caller, request, running
            )
        finally:
            meter.record_completion(service, client, clock())

    def _report_outcome(
        self, grant: RunGrant, outcome: RunOutcome, running: RunningRequest
    ) -> None:
        is_lost = isinstance(outcome, Lost)
        if is_lost and running.ran is Ran.NOT_RUN:
            outcome = NotRun()
        self._dependencies.decider.report_outcome(grant, outcome)


async def _respond_to_verdict(caller: Caller, verdict: Verdict) -> None:
    match verdict:
        case Done(Finished(status, pairs, body)) if body is not None:
            headers = HTTPHeaders()
            for name, text in pairs:
                headers.add(name, text)
            headers['Content-Length'] = str(len(body))
            headers[RAN_HEADER] = Ran.RAN.value
            await caller.response_writer.send_response(
                status, 'Repeated', headers, body
            )
        case Done():
            raise RequestRefused(
                ResultCode.ALREADY_RUN,
                'the request has run; its response was not kept',
                ran=Ran.RAN,
            )
        case InProgress():
            raise RequestRefused(
                ResultCode.IN_PROGRESS,
                'a request with this id is still running',
                ran=Ran.UNKNOWN,
                retry_after_s=1,
            )
        case Full():
            raise RequestRefused(
                ResultCode.OVERLOADED,
                'the table of request ids is full',
                retry_after_s=60,
            )
        case _:
            raise RequestRefused(
                ResultCode.OUTCOME_UNKNOWN,
                getattr(
                    verdict, 'reason', 'it is unknown whether the request ran'
                ),
                ran=Ran.UNKNOWN,
            )


def _with_ran_state(
    refusal: RequestRefused, running: RunningRequest
) -> RequestRefused:
    # The code that refuses a request does not know of earlier attempts that
    # may have reached a backend server.
    if refusal.ran is not Ran.NOT_RUN or running.ran is Ran.NOT_RUN:
        return refusal
    return RequestRefused(
        refusal.code,
        refusal.detail,
        ran=running.ran,
        retry_after_s=refusal.retry_after_s,
    )


async def _refuse(caller: Caller, refusal: RequestRefused | None) -> None:
    if refusal is None or caller.response_writer.has_begun:
        caller.response_writer.abort()
        return
    # Refusals of requests that never ran are not logged, so that a flood of
    # such requests does not flood the log.
    if refusal.ran is not Ran.NOT_RUN:
        log_event(Event.REQUEST_REFUSED, refusal.code.name)
    count_metric(Metric.REQUESTS_REFUSED)
    try:
        await caller.response_writer.refuse(refusal)
    except OSError:
        caller.response_writer.abort()


def _log_fault(error: Exception) -> None:
    # Only the type and the stack are logged: the tracebacks of the logger show
    # values of variables, among them keys, and the text of an error may quote a
    # header.
    lines = ''.join(format_tb(error.__traceback__))
    log_event(Event.TASK_FAILED, f'{type(error).__name__}\n{lines}')


def _internal_fault(running: RunningRequest) -> RequestRefused:
    return RequestRefused(
        ResultCode.INTERNAL_FAULT,
        'an internal error occurred while serving the request',
        ran=running.ran,
    )
