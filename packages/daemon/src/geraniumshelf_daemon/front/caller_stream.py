"""The stream of a caller, with an account of its buffers and times."""

import asyncio
import fcntl
import struct
import termios
from contextlib import suppress
from socket import socket
from typing import Any, Final

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, UnsatisfiableReadError

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_daemon.front.budget import CallerBudget
from geraniumshelf_daemon.front.holdings import Holding
from geraniumshelf_daemon.front.refusal import encode_refusal

MAX_HEADER_BYTES: Final = 16384

_MAX_BUFFER_BYTES: Final = 1048576
# Tornado's response to a malformed request.
_TORNADO_BAD_REQUEST: Final = b'HTTP/1.1 400 Bad Request\r\n\r\n'
_INT: Final = struct.Struct('i')


class CallerStream(IOStream):
    """Adds result codes to the error responses that tornado sends itself.

    Attributes:
        has_headers: Whether the headers of the request were passed on. The
            request may be running, so a later error in its body must not be
            reported as "not run".
        head_since: Time since which a part of a request head has been there,
            ``None`` if there is none.
        read_since: Time since which the caller has read no byte of what was
            sent to it, as far as ``update_reading`` has seen.
    """

    def __init__(self, accepted: socket, budget: CallerBudget) -> None:
        super().__init__(accepted, max_buffer_size=_MAX_BUFFER_BYTES)
        self.has_headers = False
        self.head_since: float | None = None
        self.read_since = self._now()
        self._has_nodelay = False
        self._budget = budget
        self._holding: Holding | None = None
        self._bytes_read_by_caller = 0

    def join_budget(self, holding: Holding) -> None:
        """Charge the buffers of the stream to a holding from now on."""
        self._holding = holding

    def begin_head(self) -> None:
        """Record that the next bytes belong to a new request."""
        self.has_headers = False
        self.head_since = self._now() if self._read_buffer_size else None

    def record_headers(self) -> None:
        """Record that the headers of the request were passed on."""
        self.has_headers = True
        self.head_since = None
        if self._holding is not None:
            self._holding.moved_bytes = 0

    def refuse_head(self) -> None:
        """Refuse the request of whose head only a part has arrived."""
        if self.head_since is None or self.closed():
            return
        refusal = RequestRefused(
            ResultCode.CALLER_SILENT,
            'the request head has not arrived in time',
        )
        with suppress(OSError):
            self.socket.send(encode_refusal(refusal))

    def update_reading(self, now: float) -> None:
        """Find out whether the caller has read anything since the last call.

        The kernel accepts more bytes only once much of its buffer is free, so
        a slow reader is told from one that has stopped by the bytes that it
        has acknowledged.
        """
        unread = 0
        if not self.closed():
            packed = fcntl.ioctl(self.fileno(), termios.TIOCOUTQ, bytes(4))
            unread = _INT.unpack(packed)[0]
        read_by_caller = self._total_write_done_index - unread
        if read_by_caller != self._bytes_read_by_caller or not self.writing():
            self._bytes_read_by_caller = read_by_caller
            self.read_since = now

    def set_nodelay(self, value: bool) -> None:
        """Set TCP_NODELAY at the first call and never unset it.

        Small responses are then sent at once. Tornado would change the option
        twice for each request.
        """
        if not self._has_nodelay:
            self._has_nodelay = True
            super().set_nodelay(True)

    def write(self, data: bytes | memoryview) -> Any:
        """Write data; replace tornado's response to a malformed request."""
        if data == _TORNADO_BAD_REQUEST and self.has_headers:
            self.close()
            return asyncio.sleep(0)
        if data == _TORNADO_BAD_REQUEST:
            return super().write(
                encode_refusal(
                    RequestRefused(
                        ResultCode.MALFORMED_REQUEST,
                        'the request is not a valid HTTP message',
                    )
                )
            )
        written = super().write(data)
        self._charge()
        return written

    def close(self, exc_info: Any = False) -> None:
        """Close the stream; refuse a request with too large headers first."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            refusal = RequestRefused(
                ResultCode.HEADERS_TOO_LARGE,
                f'request headers exceed {MAX_HEADER_BYTES} bytes',
            )
            try:
                self.socket.send(encode_refusal(refusal))
            except OSError:
                super().close(exc_info)
                return
        super().close(exc_info)

    def _maybe_add_error_listener(self) -> None:
        # Tornado does not notice a closed connection while bytes of a
        # pipelined request are in its buffer.
        super()._maybe_add_error_listener()
        is_waiting = self._state is None or self._state == IOLoop.ERROR
        if is_waiting and not self.closed() and self._close_callback:
            self._add_io_state(IOLoop.READ)

    def _read_to_buffer(self) -> int | None:
        count = super()._read_to_buffer()
        if count:
            if not self.has_headers and self.head_since is None:
                self.head_since = self._now()
            self._charge(count)
        return count

    def _consume(self, loc: int) -> bytes:
        consumed = super()._consume(loc)
        self._charge()
        return consumed

    def _handle_write(self) -> None:
        before = self._total_write_done_index
        super()._handle_write()
        self._charge(self._total_write_done_index - before)

    def _charge(self, moved: int = 0) -> None:
        if self._holding is not None:
            # Tornado drops the write buffer when it closes the stream.
            size = self._read_buffer_size + len(self._write_buffer or b'')
            self._budget.charge_stream(self._holding, size, moved)

    def _now(self) -> float:
        return float(asyncio.get_running_loop().time())
