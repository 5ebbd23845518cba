"""Memory and descriptors that are charged to one request."""

from collections.abc import Callable

from attrs import define

# Adds an amount of memory and a number of descriptors to a holding.
Charge = Callable[[int, int], None]


@define(eq=False)
class RequestCharge:
    """What a request holds until it ends."""

    _charge: Charge | None = None
    _cleanup: Callable[[], None] | None = None
    _held_bytes: int = 0
    _held_descriptors: int = 0

    def join(self, charge: Charge) -> None:
        """Charge to a connection from now on."""
        self._charge = charge

    def hold(self, size: int, descriptors: int = 0) -> None:
        """Charge memory and descriptors until the request ends.

        Args:
            size: Bytes; negative to release them earlier.
            descriptors: Descriptors; negative to release them earlier.
        """
        if self._charge is not None:
            self._held_bytes += size
            self._held_descriptors += descriptors
            self._charge(size, descriptors)

    def release(self) -> None:
        """Release everything."""
        self.hold(-self._held_bytes, -self._held_descriptors)

    def join_cleanup(self, cleanup: Callable[[], None]) -> None:
        """Call a function at once when the caller has disconnected."""
        self._cleanup = cleanup

    def clean(self) -> None:
        """Close what would otherwise be closed once the task has ended."""
        if self._cleanup is not None:
            self._cleanup()
