"""Commands that query daemons: status and timeline."""

import asyncio
from argparse import Namespace
from collections.abc import Sequence
from typing import Any

from geraniumshelf_cli.exit_codes import ExitCode
from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import OperatorError, ResultCode
from geraniumshelf_core.timeline.event import (
    TimelineEvent,
    event_from_json,
    event_to_json,
)
from geraniumshelf_core.timeline.merge import merge_timelines


async def status(arguments: Namespace, session: Session) -> Report:
    """Show the status of each daemon."""
    answers = await _call_all(arguments.daemon, session, '/v1/status')
    lines: list[str] = []
    for address, answer in answers.items():
        shown = answer
        if isinstance(answer, dict):
            shown = ' '.join(f'{key}={answer[key]}' for key in sorted(answer))
        lines.append(f'{address}: {shown}')
    failed = _failure_details(answers)
    return Report(
        tuple(lines),
        {'daemons': _successful_answers(answers), 'unreachable': failed},
        ExitCode.DAEMON if failed else ExitCode.DONE,
    )


async def timeline(arguments: Namespace, session: Session) -> Report:
    """Show the merged events of all daemons."""
    answers = await _call_all(arguments.daemon, session, '/v1/timeline')
    events = merge_timelines(_decode_events(_successful_answers(answers)))
    failed = _failure_details(answers)
    return Report(
        (
            *(_format_event(event) for event in events),
            *(f'unreachable: {detail}' for detail in failed.values()),
        ),
        {
            'events': [event_to_json(event) for event in events],
            'unreachable': failed,
        },
        ExitCode.DAEMON if failed else ExitCode.DONE,
    )


async def _call_all(
    addresses: Sequence[str], session: Session, path: str
) -> dict[str, Any]:
    if not addresses:
        raise OperatorError(
            ResultCode.SETTING_INVALID,
            'no daemon address; set --daemon or GERANIUMSHELF_OPERATOR_ADDRESS',
        )
    answers = await asyncio.gather(
        *(session.call_daemon(address, path) for address in addresses),
        return_exceptions=True,
    )
    return dict(zip(addresses, answers, strict=True))


def _successful_answers(answers: dict[str, Any]) -> dict[str, Any]:
    return {
        address: answer
        for address, answer in answers.items()
        if not isinstance(answer, BaseException)
    }


def _failure_details(answers: dict[str, Any]) -> dict[str, str]:
    return {
        address: str(answer)
        for address, answer in answers.items()
        if isinstance(answer, BaseException)
    }


def _decode_events(answers: dict[str, Any]) -> list[TimelineEvent]:
    events: list[TimelineEvent] = []
    for address, answer in answers.items():
        rows = answer.get('events') if isinstance(answer, dict) else answer
        if not isinstance(rows, list):
            raise _invalid_timeline_error(
                address, 'the answer contains no list of events'
            )
        try:
            events.extend(event_from_json(row) for row in rows)
        except OperatorError as error:
            raise _invalid_timeline_error(address, error.detail) from error
    return events


def _invalid_timeline_error(address: str, detail: str) -> OperatorError:
    return OperatorError(
        ResultCode.DAEMON_UNREACHABLE, f'{address}/v1/timeline: {detail}'
    )


def _format_event(event: TimelineEvent) -> str:
    fields = ' '.join(f'{name}={text}' for name, text in event.fields)
    return (
        f'{event.clock} {event.process} {event.event} '
        f'{event.name} {event.detail} {fields}'
    ).rstrip()
