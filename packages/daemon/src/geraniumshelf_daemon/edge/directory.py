"""Answers look-ups of callers, checks of the platform and collectors."""

import json
from collections.abc import Callable, Mapping
from typing import Final
from urllib.parse import parse_qs

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.presence.queries import entry_addresses
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.refusal import refusal_body
from geraniumshelf_daemon.observability.exposition import Exposition
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

RESOLVE_PATH: Final = '/resolve'
READY_PATH: Final = '/ready'

# A caller learns of a stopped daemon within this time, or by a refused
# connection before; shorter times cost more look-ups than they save.
_TTL_S: Final = 3.0
_OK: Final = 200
_UNAVAILABLE: Final = 503


class Directory:
    """Serves look-ups of callers."""

    def __init__(
        self,
        presence: PresenceState,
        regions: Mapping[str, str],
        own_heartbeat: Callable[[], PresenceHeartbeat],
        longest_ttl: Nanoseconds,
    ) -> None:
        self._presence = presence
        self._regions = regions
        self._own_heartbeat = own_heartbeat
        self._ttl_s = min(_TTL_S, ns_to_seconds(longest_ttl))

    async def serve(self, caller: Caller) -> None:
        """Answer a look-up."""
        path, _, query = caller.target.partition('?')
        if path != RESOLVE_PATH:
            await caller.reply.refuse(
                RequestRefused(ResultCode.UNKNOWN_ROUTE, f'no {path} here')
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
        await caller.reply.answer(_OK, 'OK', _json_headers(body), body)


class ReadyCheck:
    """Tells the platform whether the daemon takes callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def serve(self, caller: Caller) -> None:
        """Answer a check."""
        if self._is_ready():
            body = b'{}'
            headers = _json_headers(body)
            await caller.reply.answer(_OK, 'OK', headers, body)
            return
        body = refusal_body(
            RequestRefused(ResultCode.NOT_READY, 'the daemon is not ready')
        )
        await caller.reply.answer(
            _UNAVAILABLE, 'Service Unavailable', _json_headers(body), body
        )


class MetricsPage:
    """Serves counters and histograms."""

    def __init__(self, exposition: Exposition) -> None:
        self._exposition = exposition

    async def serve(self, caller: Caller) -> None:
        """Answer a collector."""
        body = self._exposition.render().encode()
        headers = _headers(body, 'text/plain; version=0.0.4')
        await caller.reply.answer(_OK, 'OK', headers, body)


def _json_headers(body: bytes) -> HTTPHeaders:
    return _headers(body, 'application/json')


def _headers(body: bytes, kind: str) -> HTTPHeaders:
    headers = HTTPHeaders()
    headers['Content-Type'] = kind
    headers['Content-Length'] = str(len(body))
    return headers
