"""Tests of the log, the timeline buffer and metrics."""

import io
import json
import socket
from collections.abc import Iterator

import pytest
from loguru import logger

from geraniumshelf_core.timeline.clock import LogicalClock
from geraniumshelf_daemon.observability.events import (
    Event,
    install_recorder,
    log_event,
)
from geraniumshelf_daemon.observability.logs import LogFormat, configure_logging
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import StatsdMetrics
from geraniumshelf_daemon.observability.timeline import TimelineBuffer

_KEY = 'sk-3f9a-never-shown'


@pytest.fixture(autouse=True)
def _restore() -> Iterator[None]:
    yield
    install_recorder(None)
    logger.remove()


@pytest.mark.parametrize('log_format', list(LogFormat))
def test_keys_reach_neither_log_nor_timeline(log_format: LogFormat) -> None:
    """A key in the log or timeline could be used by anyone who reads it."""
    stream = io.StringIO()
    configure_logging(log_format, stream=stream)
    buffer = TimelineBuffer('a', LogicalClock())
    install_recorder(buffer)
    log_event(Event.REQUEST_REFUSED, f'Geraniumshelf-Key: {_KEY}', key=_KEY)
    log_event(
        Event.REQUEST_REFUSED,
        headers={'Authorization': f'Bearer {_KEY}'},
        request=f'Bearer {_KEY}',
        raw=f'Authorization: Basic {_KEY}',
        pair=f'key={_KEY}',
    )
    log_event(Event.REQUEST_REFUSED, 'the key was revoked')
    try:
        _fail_with(_KEY)
    except ValueError:
        logger.exception('failed')
    assert _KEY not in stream.getvalue()
    assert _KEY not in str(buffer.events())
    assert 'the key was revoked' in stream.getvalue()


def test_json_lines_carry_event_and_fields() -> None:
    """Log collectors select events by number and read their fields."""
    stream = io.StringIO()
    configure_logging(LogFormat.JSON, stream=stream)
    log_event(Event.PEER_LOST, 'silent', peer='b')
    line = json.loads(stream.getvalue())
    assert (line['event'], line['peer']) == (302, 'b')


def test_buffer_is_bounded_and_keeps_the_latest() -> None:
    """An unbounded buffer would grow as long as the daemon runs."""
    clock = LogicalClock()
    buffer = TimelineBuffer('a', clock, max_events=2)
    install_recorder(buffer)
    for _ in range(3):
        log_event(Event.PEER_LOST, peer='b')
    clock.observe(9)
    log_event(Event.PEER_CONNECTED)
    assert [(event.sequence, event.clock) for event in buffer.events()] == [
        (3, 3),
        (4, 11),
    ]


def test_metrics_are_sent_over_udp() -> None:
    """A wrong unit or name would show wrong values on a dashboard."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(10)
        metrics = StatsdMetrics(
            f'127.0.0.1:{server.getsockname()[1]}', 'addis-1'
        )
        metrics.count(Metric.LOOKUPS, 2)
        assert server.recv(512) == b'addis-1.lookups:2|c'
        metrics.gauge(Metric.PLAN_REVISION, 7)
        assert server.recv(512) == b'addis-1.plan_revision:7|g'
        metrics.timing(Metric.LOOKUP_TIME, 2_000_000)
        assert server.recv(512) == b'addis-1.lookup_time:2.000000|ms'
        metrics.close()


def test_metrics_without_address_do_nothing() -> None:
    """A daemon must run without a statsd server."""
    metrics = StatsdMetrics()
    metrics.count(Metric.LOOKUPS)
    metrics.gauge(Metric.PLAN_REVISION, 1)
    metrics.timing(Metric.LOOKUP_TIME, 1)
    metrics.close()


def _fail_with(key: str) -> None:
    raise ValueError('wrong')
