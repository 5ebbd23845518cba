"""What other parts of the daemon may ask of the peer links."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from geraniumshelf_core.units import Nanoseconds

# Receives the peer's instance name and the message; a message that it returns
# is the answer. For messages without an answer it must not wait for the peer:
# the next frame of the link is read after it.
Handler = Callable[[str, Any], Awaitable[Any]]


class PeerNetwork(Protocol):
    """Sends messages to peers and hands received ones to handlers."""

    def register(self, message_type: type, handler: Handler) -> None:
        """Hand received messages of a type to a handler."""

    def connected_peers(self) -> tuple[str, ...]:
        """Return the instance names of linked peers."""

    def notify(self, instance: str, message: Any) -> None:
        """Send a message without an answer; it may be lost."""

    async def request(
        self, instance: str, message: Any, timeout: Nanoseconds
    ) -> Any:
        """Send a message and return the answer.

        Raises:
            PeerError: ``PEER_UNREACHABLE`` if it was certainly not sent,
                ``PEER_TIMEOUT`` if no answer came, ``PEER_REFUSED`` if the
                peer answered with a failure.
        """
