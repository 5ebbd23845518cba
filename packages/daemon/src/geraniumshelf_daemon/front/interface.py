"""What the front end asks of the other parts of the daemon."""

from typing import Protocol

from geraniumshelf_core.configuration.model import Key
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.lookups.interface import LookupAnswer


class LookupSource(Protocol):
    """Tells callers which entry instance to use."""

    def answer(
        self, service: str, client: str, now: Nanoseconds
    ) -> LookupAnswer:
        """Return the entry instances for a client address.

        Raises:
            RequestRefused: If the service is unknown or there is none.
        """


class AllowanceSource(Protocol):
    """Holds the rate and burst of each client account."""

    async def acquire(self, account: str, give_up_at: Nanoseconds) -> None:
        """Take one token for a request.

        Raises:
            RequestRefused: ``RATE_EXCEEDED`` if there is none in time.
        """


class KeySource(Protocol):
    """Knows the keys of the configuration in force."""

    def find(self, key: str) -> Key | None:
        """Return the entry of a key, ``None`` if there is none."""


class CutOffSource(Protocol):
    """Knows whether withdrawals of keys still reach this daemon."""

    def is_cut_off(self, now: Nanoseconds) -> bool:
        """Return whether no withdrawal can reach this daemon."""


class TrafficMeter(Protocol):
    """Measures the traffic that plans are made for."""

    def record_start(self, service: str, client: str, now: Nanoseconds) -> None:
        """Count a request that arrived from a client address."""

    def record_completion(
        self, service: str, client: str, now: Nanoseconds
    ) -> None:
        """Count the end of a request."""


class FailoverSource(Protocol):
    """Holds the plan's allowances towards other regions."""

    def record_arrival(self, service: str, now: Nanoseconds) -> None:
        """Count a request that arrived at this daemon."""

    def rank_regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        """Return other regions that may serve a request now, best first."""

    def record_spill(self, service: str, region: str, now: Nanoseconds) -> None:
        """Count a request that was sent to a region."""
