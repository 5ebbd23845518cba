"""Commands that ask daemons: status and timeline."""

import asyncio
from argparse import Namespace
from collections.abc import Iterable, Sequence
from typing import Any, Final

from geraniumshelf_cli.exits import ExitCode
from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import OperatorError, ResultCode

_EVENT_KEYS: Final = {
    'clock': int,
    'process': str,
    'sequence': int,
    'event': int,
    'name': str,
    'detail': str,
    'fields': dict,
}


async def status(arguments: Namespace, session: Session) -> Report:
    """Show the status of each daemon."""
    answers = await _ask_all(arguments.daemon, session, '/v1/status')
    lines: list[str] = []
    for address, answer in answers.items():
        shown = answer
        if isinstance(answer, dict):
            shown = ' '.join(f'{key}={answer[key]}' for key in sorted(answer))
        lines.append(f'{address}: {shown}')
    failed = _failures(answers)
    return Report(
        tuple(lines),
        {'daemons': _answered(answers), 'unreachable': failed},
        ExitCode.DAEMON if failed else ExitCode.DONE,
    )


async def timeline(arguments: Namespace, session: Session) -> Report:
    """Show the merged events of all daemons."""
    answers = await _ask_all(arguments.daemon, session, '/v1/timeline')
    events = merge_events(_events(_answered(answers)))
    failed = _failures(answers)
    return Report(
        (
            *(_event_line(event) for event in events),
            *(f'unreachable: {detail}' for detail in failed.values()),
        ),
        {'events': events, 'unreachable': failed},
        ExitCode.DAEMON if failed else ExitCode.DONE,
    )


def merge_events(events: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Order events by logical clock, process and sequence number."""
    return sorted(
        events,
        key=lambda event: (
            event['clock'],
            event['process'],
            event['sequence'],
        ),
    )


async def _ask_all(
    addresses: Sequence[str], session: Session, path: str
) -> dict[str, Any]:
    if not addresses:
        raise OperatorError(
            ResultCode.SETTING_INVALID,
            'no daemon; set --daemon or GERANIUMSHELF_OPERATOR_ADDRESS',
        )
    answers = await asyncio.gather(
        *(session.ask_daemon(address, path) for address in addresses),
        return_exceptions=True,
    )
    return dict(zip(addresses, answers, strict=True))


def _answered(answers: dict[str, Any]) -> dict[str, Any]:
    return {
        address: answer
        for address, answer in answers.items()
        if not isinstance(answer, BaseException)
    }


def _failures(answers: dict[str, Any]) -> dict[str, str]:
    return {
        address: str(answer)
        for address, answer in answers.items()
        if isinstance(answer, BaseException)
    }


def _events(answers: dict[str, Any]) -> list[dict[str, Any]]:
    events: list[dict[str, Any]] = []
    for address, answer in answers.items():
        # A daemon answers with a list, alone or under the key "events".
        stated = answer.get('events') if isinstance(answer, dict) else answer
        if not isinstance(stated, list) or not all(map(_is_event, stated)):
            raise OperatorError(
                ResultCode.DAEMON_UNREACHABLE,
                f'{address}/v1/timeline: not a list of events',
            )
        events.extend(stated)
    return events


def _is_event(stated: Any) -> bool:
    return isinstance(stated, dict) and all(
        type(stated.get(name)) is kind for name, kind in _EVENT_KEYS.items()
    )


def _event_line(event: dict[str, Any]) -> str:
    return (
        f'{event["clock"]} {event["process"]} {event["event"]} '
        f'{event["name"]} {event["detail"]} {event["fields"] or ""}'
    ).rstrip()
