"""Tests of the headers that pass between callers and backend servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import RequestRefused
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS
from geraniumshelf_daemon.edge.interface import (
    ForwardedFields,
    ReportedLoad,
)
from geraniumshelf_platform.headers import PlatformHeaders

_CODEC = PlatformHeaders()
_FIELDS = ForwardedFields('i-1', 'shop', 1500 * MILLISECOND_NS)


def _headers(*pairs: tuple[str, str]) -> HTTPHeaders:
    headers = HTTPHeaders()
    for name, text in pairs:
        headers.add(name, text)
    return headers


def test_request_is_read() -> None:
    """These fields decide whether and where a request runs."""
    fields = _CODEC.read_request(
        _headers(
            ('X-Request-Id', 'r1'),
            ('X-Api-Key', 'secret'),
            ('Cookie', 'a=b; X-Affinity-Key=17'),
            ('X-Deadline-Ms', '2000'),
        )
    )
    assert fields.request_id == 'r1'
    assert fields.key == 'secret'
    assert fields.object_name == '17'
    assert fields.timeout == 2 * SECOND_NS
    assert 'secret' not in repr(fields)


def test_request_with_two_keys_is_malformed() -> None:
    """Programs that read different ones of the keys disagree on the account."""
    headers = _headers(('X-Api-Key', 'one'), ('X-Api-Key', 'two'))
    with pytest.raises(RequestRefused):
        _CODEC.read_request(headers)


@given(text=st.text(alphabet='0123456789.-+einfa', max_size=12))
def test_odd_deadlines_never_fail(text: str) -> None:
    """An unreadable deadline must not fail the request."""
    found = _CODEC.read_request(_headers(('X-Deadline-Ms', text)))
    assert found.timeout is None or found.timeout >= 0


def test_key_is_not_passed_on_under_any_name() -> None:
    """A backend server must never receive the key of a caller."""
    sent = _CODEC.write_request(
        _headers(
            ('X-Api-Key', 'secret'),
            ('x_api_key', 'secret'),
            ('X-Other', 'has secret inside'),
            ('Accept', 'text/plain'),
        ),
        'secret',
        _FIELDS,
    )
    assert 'secret' not in str(dict(sent.get_all()))
    assert sent['Accept'] == 'text/plain'


def test_account_is_set_whatever_the_caller_sent() -> None:
    """Otherwise a caller could choose the account of its request."""
    headers = _headers(('X-Tenant', 'other'), ('x-tenant', 'other'))
    assert _CODEC.write_request(headers, '', _FIELDS).get_list('X-Tenant') == [
        'shop'
    ]
    without_account = ForwardedFields('i-1', '', SECOND_NS)
    assert 'X-Tenant' not in _CODEC.write_request(headers, '', without_account)


def test_time_left_and_server_are_set() -> None:
    """A server stops at the deadline and checks that it is the expected one."""
    sent = _CODEC.write_request(
        _headers(('X-Deadline-Ms', '9000'), ('X-Expect-Instance', 'i-9')),
        '',
        _FIELDS,
    )
    assert sent['X-Deadline-Ms'] == '1500'
    assert sent['X-Expect-Instance'] == 'i-1'


def test_response_is_read() -> None:
    """Only a header or status 421 shows that a request has not run."""
    shed = _CODEC.read_response(503, _headers(('X-Not-Executed', '1')))
    assert shed.is_not_run
    misdirected = _CODEC.read_response(421, _headers())
    assert misdirected.is_not_run
    assert misdirected.is_misdirected
    plain = _CODEC.read_response(
        503, _headers(('X-Server-Load', '3,1,8'), ('X-Request-Id', 'r1'))
    )
    assert not plain.is_not_run
    assert plain.load == ReportedLoad(3, 1)
    assert (
        _CODEC.read_response(200, _headers(('X-Server-Load', 'x'))).load is None
    )


@pytest.mark.parametrize(
    ('text', 'speed'),
    [
        ('3,1,8', None),
        ('3,1,8,100', 1),
        ('3,1,8, 250', 2.5),
        ('3,1,8,37.5,9', 0.375),
        ('3,1,8,1', 0.01),
        ('3,1,8,10000', 100),
        ('3,1,8,', None),
        ('3,1,8,fast', None),
        ('3,1,8,0', None),
        ('3,1,8,-100', None),
        ('3,1,8,0.9', None),
        ('3,1,8,10001', None),
        ('3,1,8,nan', None),
        ('3,1,8,' + '9' * 5000, None),
    ],
)
def test_speed_of_a_server_is_read(text: str, speed: float | None) -> None:
    """Guard against a speed that would make a server look idle or stuck."""
    response = _CODEC.read_response(200, _headers(('X-Server-Load', text)))
    assert response.load == ReportedLoad(3, 1, speed)


def test_health_is_read() -> None:
    """Only health responses report that a server is cold again."""
    found = _CODEC.read_health(
        _headers(('X-Instance-Id', 'i-1'), ('X-Cold-Ms', '250'))
    )
    assert found.server_name == 'i-1'
    assert found.cold_left == 250 * MILLISECOND_NS


@pytest.mark.parametrize('text', ['1e308', '9' * 400, '9' * 5000, '-1', 'nan'])
def test_number_out_of_range_is_ignored(text: str) -> None:
    """Guard against requests that fail because of one header of a server."""
    request = _CODEC.read_request(_headers(('X-Deadline-Ms', text)))
    assert request.timeout is None
    assert _CODEC.read_health(_headers(('X-Cold-Ms', text))).cold_left == 0
    for load in (f'{text},0,3', f'0,{text},3'):
        response = _CODEC.read_response(200, _headers(('X-Server-Load', load)))
        assert response.load is None
