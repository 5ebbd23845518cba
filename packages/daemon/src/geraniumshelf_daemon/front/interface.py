"""Interfaces that the data path requires from the rest of the daemon."""

from typing import Protocol

from geraniumshelf_core.configuration.model import Key
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.lookups.interface import LookupResponse


class LookupSource(Protocol):
    """Finds the entry instances that a caller should use."""

    def look_up(
        self, service: str, client: str, now: Nanoseconds
    ) -> LookupResponse:
        """Return the response for a client address.

        Raises:
            RequestRefused: If the service is unknown or has no entry
                instance.
        """


class AllowanceSource(Protocol):
    """Enforces the rate and burst of each client account."""

    async def acquire(self, account: str, wait_deadline: Nanoseconds) -> None:
        """Take one token for a request.

        Args:
            account: Client account of the request.
            wait_deadline: Time until which the request may wait for a token.

        Raises:
            RequestRefused: ``RATE_EXCEEDED`` if no token is available by
                then.
        """


class KeySource(Protocol):
    """Finds keys of the configuration in force."""

    def find(self, key: str) -> Key | None:
        """Return the configured key, ``None`` if it is unknown."""


class CutOffSource(Protocol):
    """Reports whether key withdrawals still reach this daemon."""

    def is_cut_off(self, now: Nanoseconds) -> bool:
        """Return whether no key withdrawal can reach this daemon."""


class TrafficMeter(Protocol):
    """Measures the traffic on which plans are based."""

    def record_start(self, service: str, client: str, now: Nanoseconds) -> None:
        """Record the start of a request from a client address."""

    def record_completion(
        self, service: str, client: str, now: Nanoseconds
    ) -> None:
        """Record the end of a request."""


class FailoverSource(Protocol):
    """Enforces the plan's allowances towards other regions."""

    def record_arrival(self, service: str, now: Nanoseconds) -> None:
        """Count a request that arrived at this daemon."""

    def rank_regions(self, service: str, now: Nanoseconds) -> tuple[str, ...]:
        """Return the other regions that may serve a request, best first."""

    def record_spill(self, service: str, region: str, now: Nanoseconds) -> None:
        """Count a request that was sent to another region."""
