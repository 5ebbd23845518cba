"""HTTP handlers for entry look-ups, readiness checks, metrics and status."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Final
from urllib.parse import parse_qs

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.presence.queries import entry_addresses
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.refusal import refusal_body
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.observability.prometheus import PrometheusMetrics

RESOLVE_PATH: Final = '/resolve'
READY_PATH: Final = '/ready'
# On the address of the metrics.
STATUS_PATH: Final = '/status'

# A caller learns that a daemon has stopped when its cached response expires, or
# earlier from a refused connection. A shorter time to live causes more look-ups
# than it saves failed connections.
_TTL_S: Final = 3.0
_OK: Final = 200
_UNAVAILABLE: Final = 503


class Directory:
    """Serves the look-ups of entry instances by callers.

    Args:
        presence: State of the other daemons.
        regions: Region by availability zone.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        max_ttl: Longest time that callers may cache a response.
    """

    def __init__(
        self,
        presence: PresenceState,
        regions: Mapping[str, str],
        own_heartbeat: Callable[[], PresenceHeartbeat],
        max_ttl: Nanoseconds,
    ) -> None:
        self._presence = presence
        self._regions = regions
        self._own_heartbeat = own_heartbeat
        self._ttl_s = min(_TTL_S, ns_to_seconds(max_ttl))

    async def serve(self, caller: Caller) -> None:
        """Respond to a look-up with the addresses of entry instances."""
        path, _, query = caller.target.partition('?')
        if path != RESOLVE_PATH:
            await caller.response_writer.refuse(
                RequestRefused(
                    ResultCode.UNKNOWN_ROUTE,
                    f'path {path} is not served here; use {RESOLVE_PATH}',
                )
            )
            return
        count_metric(Metric.LOOKUPS)
        zone = parse_qs(query).get('zone', [''])[0]
        addresses = entry_addresses(
            self._presence, self._own_heartbeat(), zone, self._regions
        )
        body = json.dumps(
            {'addresses': addresses, 'ttl_s': self._ttl_s}
        ).encode()
        await caller.response_writer.send_response(
            _OK, 'OK', _make_json_headers(body), body
        )


class ReadyCheck:
    """Reports to the platform whether the daemon accepts callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def serve(self, caller: Caller) -> None:
        """Respond to a readiness check."""
        if self._is_ready():
            body = b'{}'
            headers = _make_json_headers(body)
            await caller.response_writer.send_response(_OK, 'OK', headers, body)
            return
        body = refusal_body(
            RequestRefused(
                ResultCode.NOT_READY,
                'the daemon has not loaded or is shutting down',
            )
        )
        await caller.response_writer.send_response(
            _UNAVAILABLE, 'Service Unavailable', _make_json_headers(body), body
        )


class MetricsPage:
    """Serves the metrics as text, and the status of the daemon as JSON.

    Args:
        metrics: Counters and histograms.
        read_status: Returns the status.
    """

    def __init__(
        self,
        metrics: PrometheusMetrics,
        read_status: Callable[[], dict[str, Any]],
    ) -> None:
        self._metrics = metrics
        self._read_status = read_status

    async def serve(self, caller: Caller) -> None:
        """Respond to a metrics collector, or to an operator."""
        if caller.target.partition('?')[0] == STATUS_PATH:
            status = json.dumps(self._read_status()).encode()
            headers = _make_json_headers(status)
            await caller.response_writer.send_response(
                _OK, 'OK', headers, status
            )
            return
        body = self._metrics.render().encode()
        headers = _make_headers(body, 'text/plain; version=0.0.4')
        await caller.response_writer.send_response(_OK, 'OK', headers, body)


def _make_json_headers(body: bytes) -> HTTPHeaders:
    return _make_headers(body, 'application/json')


def _make_headers(body: bytes, content_type: str) -> HTTPHeaders:
    headers = HTTPHeaders()
    headers['Content-Type'] = content_type
    headers['Content-Length'] = str(len(body))
    return headers
