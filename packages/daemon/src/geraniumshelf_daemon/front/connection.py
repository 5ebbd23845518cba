"""One connection of a caller, with several requests under way."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any, Final

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

from geraniumshelf_daemon.front.caller import Caller

# Further requests of a connection are read once one of these is answered.
_MOST_UNDER_WAY: Final = 8

MakeCaller = Callable[['RequestConnection'], Caller]


@frozen
class PeerContext:
    """What is known of the other end of a connection.

    Attributes:
        remote_ip: Its IP address.
    """

    remote_ip: str


class RequestConnection(HTTP1Connection):
    """Reads one request and writes its answer.

    Tornado reads the next request of a connection after the answer to the
    last. Here reading ends with the request, so that the next one can be read
    while this one is served.
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
        """Return whether the caller asked to close after this request."""
        return self._disconnect_on_finish

    def _clear_callbacks(self) -> None:
        # The end of the request must not forget a write of its answer, nor
        # the callback of the connection, which other requests share.
        self._close_callback = None


class CallerConnection:
    """Reads requests of one connection; their answers keep the order.

    Args:
        stream: The connection.
        params: Limits on requests.
        context: What tornado knows of the connection.
        make_caller: Makes the delegate of a request.
        idle_timeout_s: Time for which it may be idle.
        on_close: Called once the connection is closed; also when a request
            under way takes no notice.
    """

    def __init__(
        self,
        stream: IOStream,
        params: HTTP1ConnectionParameters,
        context: object,
        make_caller: MakeCaller,
        idle_timeout_s: float,
        on_close: Callable[['CallerConnection'], None],
    ) -> None:
        self._on_close = on_close
        self._stream = stream
        self._params = params
        self._context = context
        self._make_caller = make_caller
        self._idle_timeout_s = idle_timeout_s
        self._under_way: list[Caller] = []
        self._change = asyncio.Event()
        self._last_use: float = 0
        self._is_closing = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is under way or waits to be read."""
        return not self._under_way and not self._has_unread()

    async def run(self) -> None:
        """Serve requests until the connection ends and all are answered."""
        self._stream.set_close_callback(self._leave)
        self._watch_idle()
        try:
            while await self._read_request():
                await self._wait_below(_MOST_UNDER_WAY)
            # The caller may have asked to close after its last request.
            await self._wait_below(1)
        except (StreamClosedError, UnsatisfiableReadError):
            self._stream.close()
        finally:
            self._on_close(self)

    async def close(self) -> None:
        """Close the connection, also with requests under way."""
        self.close_now()

    def close_now(self) -> None:
        """Close the connection without waiting."""
        self._stream.close()
        self._on_close(self)

    def _has_unread(self) -> bool:
        if self._stream.closed():
            return False
        try:
            waiting = self._stream.socket.recv(
                1, socket.MSG_PEEK | socket.MSG_DONTWAIT
            )
        except OSError:
            # Nothing has arrived, or the caller has reset the connection.
            return False
        return bool(waiting)

    async def _read_request(self) -> bool:
        connection = RequestConnection(
            self._stream, self._params, self._context
        )
        caller = self._make_caller(connection)
        caller.join_connection(
            self._is_first,
            self._is_last,
            self._begin,
            self._note_closing,
            self._end,
        )
        is_open = await connection.read_response(caller)
        return is_open and not connection.ends_connection

    async def _wait_below(self, limit: int) -> None:
        while len(self._under_way) >= limit:
            self._change.clear()
            await self._change.wait()

    def _is_first(self, caller: Caller) -> bool:
        return not self._under_way or self._under_way[0] is caller

    def _is_last(self, caller: Caller) -> bool:
        return not self._under_way or self._under_way[-1] is caller

    def _begin(self, caller: Caller) -> bool:
        # A head that was read in the step that closed the connection still
        # arrives here.
        if self._is_closing or self._stream.closed():
            return False
        self._under_way.append(caller)
        return True

    def _note_closing(self, _caller: Caller) -> None:
        self._is_closing = True

    def _end(self, caller: Caller) -> None:
        if caller in self._under_way:
            self._under_way.remove(caller)
        if self._under_way:
            self._under_way[0].take_turn()
        self._last_use = self._now()
        self._change.set()

    def _leave(self) -> None:
        for caller in tuple(self._under_way):
            caller.on_connection_close()
        self._under_way.clear()
        self._change.set()

    def _watch_idle(self) -> None:
        self._last_use = self._now()
        self._check_idle()

    def _check_idle(self) -> None:
        if self._stream.closed():
            return
        left = self._last_use + self._idle_timeout_s - self._now()
        if self._under_way:
            left = self._idle_timeout_s
        if left <= 0:
            self._stream.close()
            return
        self._loop().call_later(left, self._check_idle)

    def _now(self) -> float:
        return float(self._loop().time())

    def _loop(self) -> Any:
        return asyncio.get_running_loop()
