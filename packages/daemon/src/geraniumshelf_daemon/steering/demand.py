"""Measures the requests in flight by service and source region."""

from typing import Final

from attrs import Factory, define

from geraniumshelf_core.units import MICROS_PER_UNIT, Nanoseconds

# When the demand falls, the latest period of 5 s counts for half of the mean.
# This smooths the random variation caused by single requests.
_FALL_DIVISOR: Final = 2


@define
class _InFlightCount:
    """Requests in flight of one service from one source region.

    Attributes:
        in_flight: Requests in flight now.
        changed_at: Time up to which ``request_time`` is counted.
        request_time: Sum of the time that requests were in flight since the
            last collection.
        mean_requests: Smoothed mean at the last collection, micro-requests.
    """

    in_flight: int
    changed_at: Nanoseconds
    request_time: Nanoseconds = 0
    mean_requests: int = 0

    def advance(self, now: Nanoseconds) -> None:
        self.request_time += self.in_flight * (now - self.changed_at)
        self.changed_at = now


@define
class DemandMeter:
    """Measures the mean number of requests in flight at this daemon."""

    _counts: dict[tuple[str, str], _InFlightCount] = Factory(dict)
    _collected_at: Nanoseconds = 0

    def record_start(self, service: str, source: str, now: Nanoseconds) -> None:
        """Count a request that arrived from clients of a region."""
        self._adjust(service, source, 1, now)

    def record_completion(
        self, service: str, source: str, now: Nanoseconds
    ) -> None:
        """Count the end of a request."""
        self._adjust(service, source, -1, now)

    def collect_demand(
        self, now: Nanoseconds
    ) -> tuple[tuple[str, str, int], ...]:
        """Return the demand since the last call and start a new period.

        Returns:
            Service, source region and smoothed mean number of requests in
            flight, micro-requests.
        """
        elapsed = max(1, now - self._collected_at)
        self._collected_at = now
        for name, count in tuple(self._counts.items()):
            count.advance(now)
            current = count.request_time * MICROS_PER_UNIT // elapsed
            # An increase counts in full at once: plans must not send a region
            # more traffic than it has capacity for.
            decrease = max(0, count.mean_requests - current)
            count.mean_requests = current + decrease // _FALL_DIVISOR
            count.request_time = 0
            if count.mean_requests <= 0 and not count.in_flight:
                self._counts.pop(name)
        return tuple(
            (*key, max(0, kept.mean_requests))
            for key, kept in self._counts.items()
        )

    def _adjust(
        self, service: str, source: str, change: int, now: Nanoseconds
    ) -> None:
        count = self._counts.setdefault(
            (service, source), _InFlightCount(0, now)
        )
        count.advance(now)
        count.in_flight += change
