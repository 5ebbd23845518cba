"""Guards refusals: numbered, truthful, and nothing reaches a server."""

import asyncio
import json

import pytest
from loguru import logger
from tests.daemon.front.harness import (
    KEY,
    OTHER_KEY,
    Connection,
    front_harness,
    run,
    until,
)

from geraniumshelf_core.errors import RequestRefused, ResultCode

_ID = 'Geraniumshelf-Request-Id'


@pytest.mark.parametrize(
    ('code', 'request_parts'),
    [
        ('UNKNOWN_SERVICE', {'path': '/shop/list'}),
        ('UNKNOWN_ROUTE', {'path': '/desk/nothing'}),
        ('UNKNOWN_ROUTE', {'path': '/desk/openly', 'key': ''}),
        ('METHOD_NOT_ALLOWED', {'method': 'DELETE'}),
        ('KEY_MISSING', {'key': ''}),
        ('KEY_UNKNOWN', {'key': 'guess'}),
        ('MALFORMED_REQUEST', {'path': '/desk/open/../list', 'key': ''}),
        ('MALFORMED_REQUEST', {'path': '/desk/open/%2e%2e/list', 'key': ''}),
        ('MALFORMED_REQUEST', {'path': '/desk/open%2flist', 'key': ''}),
        ('MALFORMED_REQUEST', {'path': '/desk/open//x', 'key': ''}),
        ('MALFORMED_REQUEST', {'path': '/desk/open/%252e%252e/list'}),
        ('MALFORMED_REQUEST', {'headers': (f'Geraniumshelf-Key: {KEY}2',)}),
        ('MALFORMED_REQUEST', {'headers': ('Geraniumshelf-Deadline-Ms: x',)}),
        ('MALFORMED_REQUEST', {'headers': ('Content-Length: 5',) * 2 + ('A',)}),
        ('MALFORMED_REQUEST', {'headers': ('no colon',)}),
        ('DEADLINE_EXCEEDED', {'headers': ('Geraniumshelf-Deadline-Ms: 0',)}),
        ('HEADERS_TOO_LARGE', {'headers': ('Cookie: ' + 'x' * 20_000,)}),
        (
            'MALFORMED_REQUEST_ID',
            {
                'method': 'POST',
                'path': '/desk/sale',
                'headers': (f'{_ID}: a.b.c',),
            },
        ),
        ('KEY_MISSING', {'method': 'PUT', 'key': '', 'body': b'x' * 400_000}),
    ],
)
def test_refusal_is_numbered_and_nothing_runs(
    code: str, request_parts: dict[str, object]
) -> None:
    """A request that was refused with "not run" must not run."""

    async def scenario() -> None:
        async with front_harness() as w:
            answer = await w.ask(**request_parts)
            assert answer.is_whole
            assert answer.code == ResultCode[code]
            assert answer.ran == 'not-run'
            told = json.loads(answer.body)
            assert told['name'] == code
            assert set(told) == {
                'code',
                'name',
                'ran',
                'detail',
                'retry_after_s',
            }
            assert not w.records

    run(scenario)


def test_connection_lives_on_after_a_refusal() -> None:
    """A caller should not pay for a new connection after each refusal."""

    async def scenario() -> None:
        async with front_harness() as w:
            caller = await w.connect()
            refused = await caller.ask(key='guess')
            assert refused.code == ResultCode.KEY_UNKNOWN
            refused = await caller.ask('PUT', key='', body=b'x' * 100)
            assert refused.code == ResultCode.KEY_MISSING
            caller.close()
            assert (await w.ask()).status == 200

    run(scenario)


def test_rate_refusal_and_cut_off_are_passed_on() -> None:
    """The account's own limits and policy decide before any server."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.settings.rate_refusal = RequestRefused(
                ResultCode.RATE_EXCEEDED, 'too fast', retry_after_s=2
            )
            refused = await w.ask()
            assert (refused.status, refused.ran) == (429, 'not-run')
            assert refused.headers['retry-after'] == '2'
            w.settings.rate_refusal = None
            w.settings.cut_off = True
            refused = await w.ask()
            assert refused.code == ResultCode.CUT_OFF
            assert (await w.ask(path='/desk/open', key='')).status == 200
            assert [r.account for r in w.records] == ['']

    run(scenario)


def test_lookup_is_cacheable() -> None:
    """Without max-age each request would need a look-up."""

    async def scenario() -> None:
        async with front_harness() as w:
            answer = await w.ask(path='/v1/lookup?service=desk', key='')
            assert answer.headers['cache-control'] == 'max-age=5'
            assert json.loads(answer.body) == {'entries': []}
            refused = await w.ask(path='/v1/lookup?service=x', key='')
            assert refused.status == 404

    run(scenario)


def test_sale_with_an_id_runs_once_and_its_answer_is_repeated() -> None:
    """Guarantee 9: a repeated sale must not be entered twice."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.set_faults(0, service_ms=200)
            headers = (f'{_ID}: {w.prefix()}sale-1',)
            sale = {
                'method': 'POST',
                'path': '/desk/sale',
                'headers': headers,
                'body': b'x',
            }
            answers = await asyncio.gather(*(w.ask(**sale) for _ in range(3)))
            codes = sorted(answer.code for answer in answers)
            assert codes == [0, ResultCode.IN_PROGRESS, ResultCode.IN_PROGRESS]
            repeated = await w.ask(**sale)
            assert (repeated.status, repeated.body) == (200, b'answer')
            assert repeated.ran == 'ran'
            assert len(w.records) == 1
            # The same id of another account is another request.
            assert (await w.ask(key=OTHER_KEY, **sale)).status == 200
            assert len(w.records) == 2

    run(scenario)


def test_sale_refused_before_it_ran_may_come_back() -> None:
    """A record of a run that never began would lose the sale."""

    async def scenario() -> None:
        async with front_harness() as w:
            headers = (f'{_ID}: {w.prefix()}sale-1',)
            sale = {
                'method': 'POST',
                'path': '/desk/sale',
                'headers': headers,
            }
            w.set_faults(0, shed=True)
            assert (await w.ask(**sale)).ran == 'not-run'
            w.settings.rate_refusal = RequestRefused(
                ResultCode.RATE_EXCEEDED, 'too fast'
            )
            assert (await w.ask(**sale)).ran == 'not-run'
            w.settings.rate_refusal = None
            w.set_faults(0, shed=False, cut_after=1)
            assert not (await w.ask(**sale)).is_whole
            w.set_faults(0, cut_after=None)
            again = await w.ask(**sale)
            assert again.code == ResultCode.OUTCOME_UNKNOWN
            done = [r for r in w.records if r.outcome != 'shed']
            assert len(done) == 1

    run(scenario)


@pytest.mark.parametrize(
    'head',
    [
        'POST /desk/sale HTTP/1.1\r\nContent-Length: 1\r\n'
        'Transfer-Encoding: chunked',
        'GET /desk/list HTTP/1.1\r\nTransfer-Encoding: chunked',
        'POST /desk/sale HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1',
        'POST /desk/sale HTTP/1.1\r\nTransfer-Encoding: gzip',
    ],
)
def test_uncertain_length_never_reaches_a_server(head: str) -> None:
    """A server could read a second request out of the body."""

    async def scenario() -> None:
        async with front_harness() as w:
            caller = await w.connect()
            text = f'{head}\r\nGeraniumshelf-Key: {KEY}\r\n\r\n1\r\nx\r\n'
            caller.writer.write(text.encode())
            answer = await caller.receive()
            assert answer.code == ResultCode.MALFORMED_REQUEST
            assert answer.ran == 'not-run'
            assert not w.records

    run(scenario)


def test_broken_body_of_a_running_request_gets_no_not_run() -> None:
    """The request had reached a server; "not run" would be a lie."""

    async def scenario() -> None:
        async with front_harness() as w:
            caller = await w.connect()
            head = 'POST /desk/sale HTTP/1.1\r\nTransfer-Encoding: chunked'
            text = f'{head}\r\nGeraniumshelf-Key: {KEY}\r\n\r\n1\r\nx\r\n'
            caller.writer.write(text.encode())
            await until(lambda: len(w.records) == 1)
            caller.writer.write(b'no length\r\n')
            assert await _read_all(caller) == b''
            await until(lambda: w.records[0].outcome == 'cancelled')

    run(scenario)


def test_head_request_is_refused_without_a_body() -> None:
    """A body after HEAD would be read as the next answer."""

    async def scenario() -> None:
        async with front_harness() as w:
            caller = await w.connect()
            caller.send('HEAD', '/desk/list', key='')
            head = await caller.reader.readuntil(b'\r\n\r\n')
            assert b' 401 ' in head
            assert (await caller.ask()).body == b'answer'
            caller.close()

    run(scenario)


def test_internal_fault_is_told_without_the_key_in_the_log() -> None:
    """Tracebacks with values would put keys into the log."""

    async def scenario() -> None:
        async with front_harness() as w:
            w.settings.rate_refusal = ValueError(KEY)
            answer = await w.ask('POST', '/desk/sale')
            assert answer.code == ResultCode.INTERNAL_FAULT
            assert answer.ran == 'not-run'

    lines: list[str] = []
    sink = logger.add(lines.append, diagnose=True, backtrace=True)
    run(scenario)
    logger.remove(sink)
    assert any('TASK_FAILED' in line for line in lines)
    assert not any(KEY in line for line in lines)


async def _read_all(caller: Connection) -> bytes:
    try:
        return await caller.reader.read(-1)
    except ConnectionError:
        return b''
