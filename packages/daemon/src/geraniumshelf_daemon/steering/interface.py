"""Interfaces and types of steering."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.units import Nanoseconds

Clock = Callable[[], Nanoseconds]


class WatcherSource(Protocol):
    """Decides which daemons of a zone are watchers: they call the platform."""

    def is_watcher(self, now: Nanoseconds) -> bool:
        """Return whether this daemon is a watcher of its zone."""


@frozen
class DaemonIdentity:
    """Identity and location of this daemon.

    Attributes:
        instance: Instance name.
        incarnation: Random number of this run of the daemon.
        zone: Its availability zone.
        region: Its region.
    """

    instance: str
    incarnation: int
    zone: str
    region: str

    @property
    def origin(self) -> str:
        """Return the origin of reports, unique to this run of the daemon."""
        return f'{self.instance}#{self.incarnation}'


@frozen
class PolledLoad:
    """The load that a backend server returned for ``GET /-/load``.

    Attributes:
        in_flight: Number of requests in flight.
        slots: Number of requests that it can run at once.
        is_leaving: Whether it accepts no new work.
    """

    in_flight: int
    slots: int
    is_leaving: bool


# Takes the address of a backend server. Returns ``None`` without a valid
# response in time.
FetchLoad = Callable[[str], Awaitable[PolledLoad | None]]
