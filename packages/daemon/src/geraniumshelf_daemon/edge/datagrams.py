"""UDP socket for the CBOR messages between daemons."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

from geraniumshelf_daemon.edge.messages import (
    Message,
    decode_message,
    encode_message,
)
from geraniumshelf_daemon.observability.events import Event, log_event

T = TypeVar('T')


class DatagramPort:
    """Sends messages to other daemons and dispatches received ones.

    Args:
        port: UDP port that all daemons use.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._handlers: dict[type, Callable[[Any], None]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def register(self, kind: type[T], handle: Callable[[T], None]) -> None:
        """Register the handler for all messages of a type."""
        self._handlers[kind] = handle

    async def listen(self, ip: str) -> None:
        """Open the socket.

        Raises:
            OSError: If the address is in use.
        """
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: _Receiver(self._dispatch), local_addr=(ip, self._port)
        )
        self._transport = opened[0]

    def send(self, ip: str, message: Message) -> None:
        """Send a message to a daemon; delivery is not confirmed."""
        self.send_encoded(ip, encode_message(message))

    def send_encoded(self, ip: str, datagram: bytes) -> None:
        """Send a message that is already encoded."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (ip, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _dispatch(self, datagram: bytes) -> None:
        message = decode_message(datagram)
        if message is None:
            log_event(
                Event.PEER_FRAME_REFUSED,
                f'invalid datagram of {len(datagram)} bytes',
            )
            return
        handle = self._handlers.get(type(message))
        if handle is not None:
            handle(message)


class _Receiver(asyncio.DatagramProtocol):
    def __init__(self, dispatch: Callable[[bytes], None]) -> None:
        self._dispatch = dispatch

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        self._dispatch(data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: missing heartbeats reveal a lost instance."""
