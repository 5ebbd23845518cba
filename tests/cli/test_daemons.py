"""Tests of the commands that query daemons over HTTP."""

import asyncio
import json
from typing import Any

import pytest
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from geraniumshelf_cli.arguments import build_parser
from geraniumshelf_cli.exit_codes import ExitCode
from geraniumshelf_cli.reports import Report
from geraniumshelf_cli.session import Session
from geraniumshelf_core.errors import OperatorError, ResultCode


class _Handler(RequestHandler):
    def initialize(self, answer: Any) -> None:
        self.answer = answer

    def get(self) -> None:
        self.finish(json.dumps(self.answer))

    def post(self) -> None:
        self.finish('{}')


def _event(clock: int, process: str, sequence: int) -> dict[str, Any]:
    return {
        'clock': clock,
        'process': process,
        'sequence': sequence,
        'event': 101,
        'name': 'DAEMON_STARTED',
        'detail': '',
        'fields': {},
    }


async def _run_command(answers: list[Any], *arguments: str) -> Report:
    servers = []
    addresses = []
    for answer in answers:
        rules = [('/v1/.*', _Handler, {'answer': answer})]
        server = HTTPServer(Application(rules))
        listener, port = bind_unused_port()
        server.add_sockets([listener])
        servers.append(server)
        addresses.append(f'--daemon=127.0.0.1:{port}')
    parsed = build_parser({}).parse_args([*arguments, *addresses])
    try:
        report: Report = await parsed.run(parsed, Session(''))
    finally:
        for server in servers:
            server.stop()
    return report


def test_timelines_are_merged() -> None:
    """Events of several daemons must be read in causal order."""
    first = [_event(1, 'a', 1), _event(3, 'a', 3)]
    second = {'events': [_event(2, 'b', 1), _event(3, 'a', 2)]}
    report = asyncio.run(_run_command([first, second], 'timeline'))
    order = [(e['clock'], e['sequence']) for e in report.fields['events']]
    assert order == [(1, 1), (2, 1), (3, 2), (3, 3)]


def test_unreachable_daemon_does_not_hide_the_others() -> None:
    """Operators query the status most often because a daemon has stopped."""
    arguments = ('status', '--daemon=127.0.0.1:1')
    report = asyncio.run(_run_command([{'revision': 4}], *arguments))
    assert report.exit_code is ExitCode.DAEMON
    assert list(report.fields['unreachable']) == ['127.0.0.1:1']
    assert list(report.fields['daemons'].values()) == [{'revision': 4}]


def test_malformed_timeline_is_refused() -> None:
    """A malformed answer must not end the command without a result code."""
    with pytest.raises(OperatorError) as caught:
        asyncio.run(_run_command([[{'clock': 'x'}]], 'timeline'))
    assert caught.value.code is ResultCode.DAEMON_UNREACHABLE


def test_daemon_is_asked_to_stop() -> None:
    """A graceful stop must reach the daemon."""
    report = asyncio.run(_run_command([None], 'drain'))
    assert len(report.fields['stopping']) == 1
