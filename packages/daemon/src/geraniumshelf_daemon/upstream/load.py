"""Asks backend servers for their load."""

import asyncio
import json
from typing import Any, Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.dispatch.commands import record_report
from geraniumshelf_core.dispatch.state import ServerState
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.upstream.dispatcher import Dispatcher
from geraniumshelf_daemon.upstream.exchange import Exchange
from geraniumshelf_daemon.upstream.pool import ConnectionPool

_PATH: Final = '/-/load'
_OK: Final = 200
_LARGEST_REPORT: Final = 4096
# Many servers are asked one after the other in a few lanes.
_AT_ONCE: Final = 16


class LoadPoller:
    """Keeps the reported loads of all backend servers fresh.

    Args:
        dispatcher: Holds the backend servers.
        pool: Connections, apart from those of requests.
        interval: Time between two reports, nanoseconds. A leaving server
            gets no new work after at most twice this time.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        interval: Nanoseconds,
    ) -> None:
        self._dispatcher = dispatcher
        self._pool = pool
        self._interval_s = ns_to_seconds(interval)

    async def run(self) -> None:
        """Ask all servers again and again until cancelled."""
        while True:
            started = asyncio.get_running_loop().time()
            await self.ask_all()
            spent = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0, self._interval_s - spent))

    async def ask_all(self) -> None:
        """Ask each server once; those that don't answer are left as known."""
        lanes = asyncio.Semaphore(_AT_ONCE)
        servers = tuple(self._dispatcher.state.servers.values())
        await asyncio.gather(*(self._ask(lanes, one) for one in servers))

    async def _ask(self, lanes: asyncio.Semaphore, server: ServerState) -> None:
        async with lanes:
            try:
                async with asyncio.timeout(self._interval_s):
                    report = await self._fetch(server.server.address)
            except (OSError, ValueError):
                return
        in_flight, leaving = report.get('in_flight'), report.get('leaving')
        if type(in_flight) is int and type(leaving) is bool:
            now = self._dispatcher.now()
            record_report(server, in_flight, leaving, now)

    async def _fetch(self, address: str) -> dict[str, Any]:
        stream = await self._pool.acquire(address)
        exchange = Exchange(stream, 'GET', _PATH)
        is_free = False
        try:
            await exchange.start(HTTPHeaders({'Host': address}))
            exchange.finish()
            status, _, _ = await exchange.wait_head()
            body = await _read_body(exchange)
            is_free = await exchange.settle()
        finally:
            if is_free:
                self._pool.release(address, stream)
            else:
                exchange.abort()
        report = json.loads(body) if status == _OK else {}
        return report if isinstance(report, dict) else {}


async def _read_body(exchange: Exchange) -> bytes:
    body = b''
    while chunk := await exchange.body.take():
        body += chunk
        if len(body) > _LARGEST_REPORT:
            raise ValueError('load report is too large')
    return body
