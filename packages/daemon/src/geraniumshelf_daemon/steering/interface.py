"""What steering needs from other parts of the daemon."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.units import Nanoseconds

Clock = Callable[[], Nanoseconds]


class WatcherSource(Protocol):
    """Knows which daemons of a zone talk to the platform."""

    def is_watcher(self, now: Nanoseconds) -> bool:
        """Tell whether this daemon is a watcher of its zone."""


@frozen
class DaemonIdentity:
    """Who this daemon is.

    Attributes:
        instance: Instance name.
        incarnation: Random number of this run.
        zone: Its availability zone.
        region: Its region.
    """

    instance: str
    incarnation: int
    zone: str
    region: str

    @property
    def origin(self) -> str:
        """Return a name that is unique to this run of the daemon."""
        return f'{self.instance}#{self.incarnation}'


@frozen
class ServerAnswer:
    """The answer of a backend server to ``GET /-/load``.

    Attributes:
        in_flight: Requests that it runs.
        slots: Requests that it can run at once.
        is_leaving: Whether it takes no new work.
    """

    in_flight: int
    slots: int
    is_leaving: bool


# Takes the address of a backend server; returns ``None`` if it gives no valid
# answer in time.
FetchLoad = Callable[[str], Awaitable[ServerAnswer | None]]
