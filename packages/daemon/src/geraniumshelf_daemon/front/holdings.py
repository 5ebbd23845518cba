"""What a connection of a caller holds of memory and descriptors."""

from typing import Final, Protocol

from attrs import define

# Objects and buffers of a connection without a request.
_BASE_BYTES: Final = 16384
# A connection that has moved this many bytes for its present request scores
# half as high as one that has moved none.
_PROGRESS_BYTES: Final = 65536
# Age of a connection that waits for the daemon instead of its caller. It is not
# zero, so that the size still decides between such connections.
_LEAST_AGE_S: Final = 0.01


class HoldingConnection(Protocol):
    """A connection that the daemon may close to regain what it holds."""

    def find_reason(self, now: float) -> str:
        """Return why its caller is too slow, empty if it is not."""

    def waited_since(self) -> float | None:
        """Return since when it waits for its caller, ``None`` if it doesn't."""

    def close_now(self) -> None:
        """Close the connection without waiting."""


@define(eq=False)
class Holding:
    """Memory and descriptors that one connection holds.

    Attributes:
        connection: The connection.
        address: IP address of the caller.
        request_bytes: Memory of its requests and their responses.
        stream_bytes: Bytes in its read and write buffers.
        descriptors: Its own descriptor and those of its requests.
        moved_bytes: Bytes read and written for its present request.
    """

    connection: HoldingConnection
    address: str
    request_bytes: int = 0
    stream_bytes: int = 0
    descriptors: int = 1
    moved_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Return the memory that the connection holds."""
        return _BASE_BYTES + self.request_bytes + self.stream_bytes


def score_holding(holding: Holding, now: float, *, by_bytes: bool) -> float:
    """Return how much a connection holds for how little progress.

    Args:
        holding: What the connection holds.
        now: Current time, seconds.
        by_bytes: Whether memory is short, otherwise descriptors are.
    """
    waited_since = holding.connection.waited_since()
    age_s = _LEAST_AGE_S
    if waited_since is not None:
        age_s = max(age_s, now - waited_since)
    held = holding.held_bytes if by_bytes else holding.descriptors
    return held * age_s / (1 + holding.moved_bytes / _PROGRESS_BYTES)
