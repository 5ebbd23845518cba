"""Verdicts and outcomes in the form of messages."""

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


def verdict_message(verdict: Verdict) -> RunVerdict:
    """Return the message of a verdict."""
    match verdict:
        case Run():
            return _plain_verdict('run')
        case InProgress():
            return _plain_verdict('in-progress')
        case Unknown(reason):
            return _plain_verdict('unknown', reason)
        case Full():
            return _plain_verdict('full')
        case Moved(instance):
            return _plain_verdict('moved', instance)
        case Done(answer):
            return RunVerdict(
                'done',
                '',
                answer.status,
                answer.headers,
                answer.body is not None,
                answer.body or b'',
            )


def read_verdict(message: RunVerdict) -> Verdict:
    """Return the verdict of a message; an unknown word is ``Unknown``."""
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


def outcome_message(
    account: str, request_id: str, nonce: int, outcome: RunOutcome
) -> RunFinished:
    """Return the message of an outcome."""
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


def read_outcome(message: RunFinished) -> RunOutcome:
    """Return the outcome of a message; an unknown word is ``Lost``."""
    match message.outcome:
        case 'not-run':
            return NotRun()
        case 'finished':
            body = message.body if message.has_body else None
            return Finished(message.status, message.headers, body)
        case _:
            return Lost()


def _plain_verdict(verdict: str, detail: str = '') -> RunVerdict:
    return RunVerdict(verdict, detail, 0, (), False, b'')
