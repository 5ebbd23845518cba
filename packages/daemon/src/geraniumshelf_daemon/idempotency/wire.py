"""Conversion between verdicts or outcomes and messages."""

from geraniumshelf_core.idempotency.state import (
    Done,
    Finished,
    Full,
    InProgress,
    Lost,
    Moved,
    NotRun,
    Run,
    RunOutcome,
    Unknown,
    Verdict,
)
from geraniumshelf_core.messages.idempotency import RunFinished, RunVerdict


def build_verdict_message(verdict: Verdict) -> RunVerdict:
    """Return the message for a verdict."""
    match verdict:
        case Run():
            return _build_verdict_without_response('run')
        case InProgress():
            return _build_verdict_without_response('in-progress')
        case Unknown(reason):
            return _build_verdict_without_response('unknown', reason)
        case Full():
            return _build_verdict_without_response('full')
        case Moved(instance):
            return _build_verdict_without_response('moved', instance)
        case Done(response):
            return RunVerdict(
                'done',
                '',
                response.status,
                response.headers,
                response.body is not None,
                response.body or b'',
            )


def parse_verdict(message: RunVerdict) -> Verdict:
    """Return the verdict of a message, ``Unknown`` for an unknown word."""
    match message.verdict:
        case 'run':
            return Run()
        case 'in-progress':
            return InProgress()
        case 'full':
            return Full()
        case 'moved':
            return Moved(message.detail)
        case 'done':
            body = message.body if message.has_body else None
            return Done(Finished(message.status, message.headers, body))
        case _:
            return Unknown(message.detail)


def build_outcome_message(
    account: str, request_id: str, nonce: int, outcome: RunOutcome
) -> RunFinished:
    """Return the message for an outcome."""
    match outcome:
        case NotRun():
            return RunFinished(
                account, request_id, nonce, 'not-run', 0, (), False, b''
            )
        case Lost():
            return RunFinished(
                account, request_id, nonce, 'lost', 0, (), False, b''
            )
        case Finished(status, headers, body):
            return RunFinished(
                account,
                request_id,
                nonce,
                'finished',
                status,
                headers,
                body is not None,
                body or b'',
            )


def parse_outcome(message: RunFinished) -> RunOutcome:
    """Return the outcome of a message, ``Lost`` for an unknown word."""
    match message.outcome:
        case 'not-run':
            return NotRun()
        case 'finished':
            body = message.body if message.has_body else None
            return Finished(message.status, message.headers, body)
        case _:
            return Lost()


def _build_verdict_without_response(
    verdict: str, detail: str = ''
) -> RunVerdict:
    return RunVerdict(verdict, detail, 0, (), False, b'')
