"""A call to a platform while it is in flight."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from tornado.iostream import IOStream

from geraniumshelf_core.errors import (
    PlatformConnectionLost,
    PlatformError,
    PlatformResponseTooLong,
    ResultCode,
)


@define(eq=False)
class PlatformCall:
    """A call in flight.

    Attributes:
        on_response_start: Called when the head of the response arrives.
        max_body_bytes: Longest body of a response that is kept.
        response_started: Done when the head of the response arrives.
        stream: Connection of the call, once it is open.
        is_abandoned: Whether the caller no longer waits for the response.
        body: Body of the response, as far as it has arrived.
        is_too_long: Whether it has been dropped for its length.
    """

    on_response_start: Callable[[], None]
    max_body_bytes: int
    response_started: asyncio.Future[None] = field(
        factory=lambda: asyncio.get_running_loop().create_future()
    )
    stream: IOStream | None = None
    is_abandoned: bool = False
    body: bytearray = field(factory=bytearray)
    is_too_long: bool = False

    def attach(self, stream: IOStream) -> None:
        """Store the connection; close it if the call was abandoned."""
        self.stream = stream
        if self.is_abandoned:
            stream.close()

    def record_head(self, _line: str) -> None:
        """Record that the response has started."""
        if not self.response_started.done():
            self.response_started.set_result(None)
            self.on_response_start()

    def receive(self, chunk: bytes) -> None:
        """Keep a chunk of the body, or drop the whole and disconnect."""
        self.is_too_long |= len(self.body) + len(chunk) > self.max_body_bytes
        if self.is_too_long:
            self.body.clear()
            self.abandon()
        else:
            self.body += chunk

    def abandon(self) -> None:
        """Close the connection, so that a long response is not received."""
        self.is_abandoned = True
        if self.stream is not None:
            self.stream.close()

    def explain_loss(self, detail: str) -> PlatformError:
        """Return why the connection was closed before the response's end."""
        if self.is_too_long:
            return PlatformResponseTooLong(
                ResultCode.PLATFORM_PROTOCOL,
                f'the response is longer than {self.max_body_bytes} bytes',
            )
        return PlatformConnectionLost(ResultCode.PLATFORM_UNREACHABLE, detail)
