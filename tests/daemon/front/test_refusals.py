"""Guards refusals and the statement whether the request ran.

Each refusal carries a result code, and the request reaches no backend server.
"""

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
    wait_until,
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
    """A request that is refused with "not run" must not run."""

    async def scenario() -> None:
        async with front_harness() as harness:
            response = await harness.request(**request_parts)
            assert response.is_complete
            assert response.code == ResultCode[code]
            assert response.ran == 'not-run'
            content = json.loads(response.body)
            assert content['name'] == code
            assert set(content) == {
                'code',
                'name',
                'ran',
                'detail',
                'retry_after_s',
            }
            assert not harness.records

    run(scenario)


def test_connection_stays_open_after_a_refusal() -> None:
    """A caller should not need a new connection after each refusal."""

    async def scenario() -> None:
        async with front_harness() as harness:
            caller = await harness.connect()
            refused = await caller.request(key='guess')
            assert refused.code == ResultCode.KEY_UNKNOWN
            refused = await caller.request('PUT', key='', body=b'x' * 100)
            assert refused.code == ResultCode.KEY_MISSING
            caller.close()
            assert (await harness.request()).status == 200

    run(scenario)


def test_rate_refusal_and_cut_off_are_passed_on() -> None:
    """Limits and policy of the account apply before a server is chosen."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.stubs.rate_refusal = RequestRefused(
                ResultCode.RATE_EXCEEDED, 'too fast', retry_after_s=2
            )
            refused = await harness.request()
            assert (refused.status, refused.ran) == (429, 'not-run')
            assert refused.headers['retry-after'] == '2'
            harness.stubs.rate_refusal = None
            harness.stubs.cut_off = True
            refused = await harness.request()
            assert refused.code == ResultCode.CUT_OFF
            assert (
                await harness.request(path='/desk/open', key='')
            ).status == 200
            assert [r.account for r in harness.records] == ['']

    run(scenario)


def test_lookup_is_cacheable() -> None:
    """Without max-age, callers would need a look-up for each request."""

    async def scenario() -> None:
        async with front_harness() as harness:
            response = await harness.request(
                path='/v1/lookup?service=desk', key=''
            )
            assert response.headers['cache-control'] == 'max-age=5'
            assert json.loads(response.body) == {'entries': []}
            refused = await harness.request(path='/v1/lookup?service=x', key='')
            assert refused.status == 404

    run(scenario)


def test_sale_with_an_id_runs_once_and_its_answer_is_repeated() -> None:
    """Guarantee 9: a repeated request id must not run twice."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.set_faults(0, service_ms=200)
            headers = (f'{_ID}: {harness.id_prefix()}sale-1',)
            sale = {
                'method': 'POST',
                'path': '/desk/sale',
                'headers': headers,
                'body': b'x',
            }
            responses = await asyncio.gather(
                *(harness.request(**sale) for _ in range(3))
            )
            codes = sorted(response.code for response in responses)
            assert codes == [0, ResultCode.IN_PROGRESS, ResultCode.IN_PROGRESS]
            repeated = await harness.request(**sale)
            assert (repeated.status, repeated.body) == (200, b'answer')
            assert repeated.ran == 'ran'
            assert len(harness.records) == 1
            # The same id of another account is a different request.
            assert (await harness.request(key=OTHER_KEY, **sale)).status == 200
            assert len(harness.records) == 2

    run(scenario)


def test_sale_refused_before_it_ran_may_come_back() -> None:
    """A record of a run that never began would refuse the retry."""

    async def scenario() -> None:
        async with front_harness() as harness:
            headers = (f'{_ID}: {harness.id_prefix()}sale-1',)
            sale = {
                'method': 'POST',
                'path': '/desk/sale',
                'headers': headers,
            }
            harness.set_faults(0, shed=True)
            assert (await harness.request(**sale)).ran == 'not-run'
            harness.stubs.rate_refusal = RequestRefused(
                ResultCode.RATE_EXCEEDED, 'too fast'
            )
            assert (await harness.request(**sale)).ran == 'not-run'
            harness.stubs.rate_refusal = None
            harness.set_faults(0, shed=False, cut_after=1)
            assert not (await harness.request(**sale)).is_complete
            harness.set_faults(0, cut_after=None)
            again = await harness.request(**sale)
            assert again.code == ResultCode.OUTCOME_UNKNOWN
            done = [r for r in harness.records if r.outcome != 'shed']
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
    """A server could read part of the body as a second request."""

    async def scenario() -> None:
        async with front_harness() as harness:
            caller = await harness.connect()
            text = f'{head}\r\nGeraniumshelf-Key: {KEY}\r\n\r\n1\r\nx\r\n'
            caller.writer.write(text.encode())
            response = await caller.receive()
            assert response.code == ResultCode.MALFORMED_REQUEST
            assert response.ran == 'not-run'
            assert not harness.records

    run(scenario)


def test_broken_body_of_a_running_request_gets_no_not_run() -> None:
    """The request has reached a server, so "not run" would be wrong."""

    async def scenario() -> None:
        async with front_harness() as harness:
            caller = await harness.connect()
            head = 'POST /desk/sale HTTP/1.1\r\nTransfer-Encoding: chunked'
            text = f'{head}\r\nGeraniumshelf-Key: {KEY}\r\n\r\n1\r\nx\r\n'
            caller.writer.write(text.encode())
            await wait_until(lambda: len(harness.records) == 1)
            caller.writer.write(b'no length\r\n')
            assert await _read_all(caller) == b''
            await wait_until(lambda: harness.records[0].outcome == 'cancelled')

    run(scenario)


def test_head_request_is_refused_without_a_body() -> None:
    """A body after HEAD would be read as the next response."""

    async def scenario() -> None:
        async with front_harness() as harness:
            caller = await harness.connect()
            caller.send('HEAD', '/desk/list', key='')
            head = await caller.reader.readuntil(b'\r\n\r\n')
            assert b' 401 ' in head
            assert (await caller.request()).body == b'answer'
            caller.close()

    run(scenario)


def test_internal_fault_is_reported_without_the_key_in_the_log() -> None:
    """Tracebacks that show values of variables would log keys."""

    async def scenario() -> None:
        async with front_harness() as harness:
            harness.stubs.rate_refusal = ValueError(KEY)
            response = await harness.request('POST', '/desk/sale')
            assert response.code == ResultCode.INTERNAL_FAULT
            assert response.ran == 'not-run'

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
