"""Interface of the links between daemons for the rest of the daemon."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from geraniumshelf_core.units import Nanoseconds

# Called with the peer's instance name and the message. A returned message is
# sent as the reply. A handler of messages without a reply must not wait for
# the peer, because the link reads its next frame only after the handler ends.
Handler = Callable[[str, Any], Awaitable[Any]]


class PeerNetwork(Protocol):
    """Sends messages to peers and passes received ones to handlers."""

    def register(self, message_type: type, handler: Handler) -> None:
        """Pass received messages of a type to a handler."""

    def connected_peers(self) -> tuple[str, ...]:
        """Return the instance names of linked peers."""

    def notify(self, instance: str, message: Any) -> None:
        """Send a message that has no reply; it may be lost."""

    async def request(
        self, instance: str, message: Any, timeout: Nanoseconds
    ) -> Any:
        """Send a message and return the reply.

        Raises:
            PeerError: ``PEER_UNREACHABLE`` if the message was certainly not
                sent, ``PEER_TIMEOUT`` if no reply arrived in time,
                ``PEER_REFUSED`` if the peer replied with a failure.
        """
