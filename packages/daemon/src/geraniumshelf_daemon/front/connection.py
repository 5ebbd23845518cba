"""Serves a connection of a caller with pipelined requests."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from attrs import frozen
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.iostream import (
    IOStream,
    StreamClosedError,
    UnsatisfiableReadError,
)

from geraniumshelf_daemon.front.budget import CallerBudget
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.caller_stream import CallerStream
from geraniumshelf_daemon.front.connection_watch import (
    MAX_REQUESTS_IN_FLIGHT,
    ConnectionWatch,
)

MakeCaller = Callable[['RequestConnection'], Caller]


@frozen
class PeerContext:
    """The context that tornado keeps for a connection.

    Attributes:
        remote_ip: IP address of the caller.
    """

    remote_ip: str


class RequestConnection(HTTP1Connection):
    """Reads one request and writes its response.

    Tornado reads the next request of a connection only after it has sent the
    previous response. Here reading ends with the request, so that the next one
    can be read while this one is served.
    """

    def __init__(
        self,
        stream: IOStream,
        params: HTTP1ConnectionParameters,
        context: object,
    ) -> None:
        self._write_callback = None
        self._write_future = None
        super().__init__(
            stream, is_client=False, params=params, context=context
        )
        self._finish_future.set_result(None)

    @property
    def ends_connection(self) -> bool:
        """Return whether the connection closes after this request."""
        return self._disconnect_on_finish

    def _clear_callbacks(self) -> None:
        # This runs at the end of the request. A pending write of its response
        # must survive, and so must the close callback of the stream, which the
        # other requests of the connection share.
        self._close_callback = None


class CallerConnection:
    """Reads the requests of a connection and keeps responses in order.

    Args:
        stream: The connection.
        params: Limits on the size of requests.
        context: Context that tornado keeps for the connection.
        make_caller: Creates the delegate that receives a request.
        idle_timeout_s: Returns the time after which an idle connection is
            closed, seconds.
        on_close: Called once the connection is closed, even if a request in
            flight has not ended yet.
        budget: Charged with what the connection holds.
    """

    def __init__(
        self,
        stream: CallerStream,
        params: HTTP1ConnectionParameters,
        context: PeerContext,
        make_caller: MakeCaller,
        idle_timeout_s: Callable[[], float],
        on_close: Callable[['CallerConnection'], None],
        budget: CallerBudget,
    ) -> None:
        self._on_close = on_close
        self._stream = stream
        self._params = params
        self._context = context
        self._make_caller = make_caller
        self._idle_timeout_s = idle_timeout_s
        self._in_flight: list[Caller] = []
        self._in_flight_changed = asyncio.Event()
        self._is_closing = False
        self._watch = ConnectionWatch(
            stream, self._in_flight, budget, context.remote_ip, self.close_now
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight or waits to be read."""
        return not self._in_flight and not self._has_unread_bytes()

    async def run(self) -> None:
        """Serve requests until the connection ends and none is in flight."""
        self._stream.set_close_callback(self._cancel_requests)
        self._start_idle_timer()
        try:
            while await self._read_request():
                await self._wait_below(MAX_REQUESTS_IN_FLIGHT)
            # The caller may have requested ``Connection: close``; its last
            # requests can still be running.
            await self._wait_below(1)
        except (StreamClosedError, UnsatisfiableReadError):
            self._stream.close()
        finally:
            self._watch.end()
            self._on_close(self)

    async def close(self) -> None:
        """Close the connection, even with requests in flight."""
        self.close_now()

    def close_now(self) -> None:
        """Close the connection without waiting."""
        self._stream.close()
        # At once, as tasks release servers' connections and heads only in the
        # next iteration of the event loop, and more may be read in this one.
        heads = [caller.headers for caller in self._in_flight]
        self._cancel_requests()
        for head in heads:
            head.clear()
        self._watch.end()
        self._on_close(self)

    def _has_unread_bytes(self) -> bool:
        if self._stream.closed():
            return False
        try:
            peeked = self._stream.socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            # No bytes have arrived, or the caller has reset the connection.
            return False
        return bool(peeked)

    async def _read_request(self) -> bool:
        connection = RequestConnection(
            self._stream, self._params, self._context
        )
        caller = self._make_caller(connection)
        caller.join_connection(
            self._is_first,
            self._is_last,
            self._accept_request,
            self._record_closing,
            self._remove_request,
            self._watch.charge,
        )
        is_open = await connection.read_response(caller)
        return is_open and not connection.ends_connection

    async def _wait_below(self, limit: int) -> None:
        while len(self._in_flight) >= limit:
            self._in_flight_changed.clear()
            await self._in_flight_changed.wait()

    def _is_first(self, caller: Caller) -> bool:
        return not self._in_flight or self._in_flight[0] is caller

    def _is_last(self, caller: Caller) -> bool:
        return not self._in_flight or self._in_flight[-1] is caller

    def _accept_request(self, caller: Caller) -> bool:
        # Headers that were read in the same event loop iteration in which the
        # connection was closed still arrive here.
        if self._is_closing or self._stream.closed():
            return False
        self._in_flight.append(caller)
        self._watch.last_used_at = self._now()
        return True

    def _record_closing(self, _caller: Caller) -> None:
        self._is_closing = True

    def _remove_request(self, caller: Caller) -> None:
        if caller in self._in_flight:
            self._in_flight.remove(caller)
        if self._in_flight:
            self._in_flight[0].allow_response()
        self._watch.last_used_at = self._now()
        self._in_flight_changed.set()

    def _cancel_requests(self) -> None:
        for caller in tuple(self._in_flight):
            caller.on_connection_close()
        self._in_flight.clear()
        self._in_flight_changed.set()

    def _start_idle_timer(self) -> None:
        self._watch.last_used_at = self._now()
        self._check_idle()

    def _check_idle(self) -> None:
        if self._stream.closed():
            return
        remaining_s = self._idle_timeout_s()
        if not self._in_flight:
            # A request that has begun to arrive uses the connection, too.
            head_since = self._stream.head_since or 0
            last_used_at = max(self._watch.last_used_at, head_since)
            remaining_s += last_used_at - self._now()
        if remaining_s <= 0:
            self._stream.close()
            return
        self._loop().call_later(remaining_s, self._check_idle)

    def _now(self) -> float:
        return float(self._loop().time())

    def _loop(self) -> Any:
        return asyncio.get_running_loop()
