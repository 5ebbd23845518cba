"""Counts of what goes over a kind of link."""

from attrs import define


@define
class Traffic:
    """Messages and their bytes, without framing and transport headers.

    Attributes:
        messages_sent: Messages sent.
        bytes_sent: Bytes of these messages.
        messages_received: Messages received.
        bytes_received: Bytes of these messages.
    """

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0

    def count_sent(self, size: int) -> None:
        """Count a message of some bytes."""
        self.messages_sent += 1
        self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a received message of some bytes."""
        self.messages_received += 1
        self.bytes_received += size
