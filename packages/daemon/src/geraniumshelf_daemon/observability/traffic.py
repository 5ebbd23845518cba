"""Counters of the messages and bytes of one kind of connection."""

from attrs import define


@define
class TrafficCounters:
    """Numbers of messages and bytes, without framing and transport headers.

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
        """Count a sent message of a size in bytes."""
        self.messages_sent += 1
        self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a received message of a size in bytes."""
        self.messages_received += 1
        self.bytes_received += size
