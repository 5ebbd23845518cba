"""Checks whether servers are cold while the store does not tell."""

import asyncio
from collections.abc import Callable
from typing import Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.placement.cold_starts import (
    choose_checks,
    record_health,
)
from geraniumshelf_core.placement.pacing import begin_cold_start
from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds
from geraniumshelf_daemon.edge.connections import CONNECT_TIMEOUT_NS
from geraniumshelf_daemon.edge.interface import HeaderCodec, HealthFields
from geraniumshelf_daemon.edge.server_limits import ServerLimits
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.pool import ConnectionPool
from geraniumshelf_daemon.upstream.response_owner import ResponseOwner

_TICK_S: Final = 0.05
# A response that takes longer is too old to be of use.
_TIMEOUT_S: Final = 1.0
# Below the idle timeout of all servers.
_MAX_IDLE_NS: Final[Nanoseconds] = 2 * SECOND_NS
_OK: Final = 200


class HealthChecker:
    """Checks the health of servers whose state the store has not confirmed.

    Args:
        state: Holds the servers and the configuration.
        codec: Reads the headers of responses.
        clock: Returns the current time, nanoseconds.
        limits: Records what responses say about limits.
    """

    def __init__(
        self,
        state: EdgeState,
        codec: HeaderCodec,
        clock: Callable[[], Nanoseconds],
        limits: ServerLimits,
    ) -> None:
        self._state = state
        self._limits = limits
        self._codec = codec
        self._clock = clock
        # One connection for each server: its checks follow each other.
        self._pool = ConnectionPool(1, CONNECT_TIMEOUT_NS)
        self._checks: set[asyncio.Task[None]] = set()
        # Names of servers whose last check failed.
        self._failing: set[str] = set()

    async def run(self) -> None:
        """Check servers when it is due, until the task is cancelled."""
        try:
            while True:
                for view in choose_checks(self._state.placement, self._clock()):
                    check = asyncio.create_task(self._check(view))
                    self._checks.add(check)
                    check.add_done_callback(self._checks.discard)
                await asyncio.sleep(_TICK_S)
        finally:
            for check in self._checks:
                check.cancel()
            self._pool.close()

    async def _check(self, view: ServerView) -> None:
        path = self._health_path(view.server.service)
        if path is None:
            return
        count_metric(Metric.HEALTH_CHECKS)
        began_at = self._clock()
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                status, fields = await self._fetch(view.server.address, path)
        except OSError as error:
            self._log_failure(view.server.name, error)
            return
        self._failing.discard(view.server.name)
        if fields.server_name != view.server.name:
            return
        self._limits.record(view, fields.limit, began_at, is_run=False)
        now = self._clock()
        if fields.cold_left:
            begin_cold_start(self._state.placement, view, fields.cold_left, now)
            log_event(
                Event.BACKEND_COLD,
                view.server.name,
                cold_for_ms=fields.cold_left // MILLISECOND_NS,
            )
        elif status == _OK:
            record_health(view, 0, now)

    def _log_failure(self, name: str, error: OSError) -> None:
        if name not in self._failing:
            self._failing.add(name)
            reason = str(error) or type(error).__name__
            log_event(Event.BACKEND_UNCHECKED, name, error=reason)

    def _health_path(self, service: str) -> str | None:
        table = self._state.table
        if table is None:
            return None
        declared = table.configuration.services.get(service)
        return declared.health_path if declared else None

    async def _fetch(self, address: str, path: str) -> tuple[int, HealthFields]:
        stream = await self._pool.acquire(address, self._clock() - _MAX_IDLE_NS)
        exchange = Exchange(stream, 'GET', path, self._find_owner)
        is_reusable = False
        try:
            exchange.start_nowait(HTTPHeaders({'Host': address}))
            status, _, headers = await exchange.wait_head()
            chunk = await exchange.body.take()
            while chunk:
                chunk = await exchange.body.take()
            is_reusable = await exchange.check_reusable()
        finally:
            if not is_reusable:
                exchange.abort()
        self._pool.release(address, stream, self._clock())
        return status, self._codec.read_health(headers)

    def _find_owner(self, headers: HTTPHeaders) -> ResponseOwner:
        # A late copy of a response to a request names that request.
        ids = self._codec.read_response(0, headers).request_ids
        return ResponseOwner.OTHER if any(ids) else ResponseOwner.OWN
