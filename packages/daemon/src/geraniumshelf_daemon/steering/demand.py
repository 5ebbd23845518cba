"""Requests in flight at this entry instance, by service and source region."""

from typing import Final

from attrs import Factory, define

from geraniumshelf_core.units import MICRO_TOKENS, Nanoseconds

# The latest period of 5 s counts for half of the mean, which smooths out the
# chance of single requests.
_SMOOTHING: Final = 2


@define
class _Count:
    in_flight: int
    changed_at: Nanoseconds
    busy: Nanoseconds = 0
    mean: int = 0

    def advance(self, now: Nanoseconds) -> None:
        self.busy += self.in_flight * (now - self.changed_at)
        self.changed_at = now


@define
class DemandMeter:
    """Measures the mean number of requests in flight."""

    _counts: dict[tuple[str, str], _Count] = Factory(dict)
    _taken_at: Nanoseconds = 0

    def record_start(self, service: str, source: str, now: Nanoseconds) -> None:
        """Count a request that arrived from clients of a region."""
        self._change(service, source, 1, now)

    def record_completion(
        self, service: str, source: str, now: Nanoseconds
    ) -> None:
        """Count the end of a request."""
        self._change(service, source, -1, now)

    def take(self, now: Nanoseconds) -> tuple[tuple[str, str, int], ...]:
        """Return service, source and mean in micro-requests; start anew."""
        elapsed = max(1, now - self._taken_at)
        self._taken_at = now
        for name, count in tuple(self._counts.items()):
            count.advance(now)
            latest = count.busy * MICRO_TOKENS // elapsed
            # A rise counts at once: plans must not send more traffic to a
            # region than it has room for.
            fall = max(0, count.mean - latest)
            count.mean = latest + fall // _SMOOTHING
            count.busy = 0
            if count.mean <= 0 and not count.in_flight:
                self._counts.pop(name)
        return tuple(
            (*key, max(0, kept.mean)) for key, kept in self._counts.items()
        )

    def _change(
        self, service: str, source: str, change: int, now: Nanoseconds
    ) -> None:
        count = self._counts.setdefault((service, source), _Count(0, now))
        count.advance(now)
        count.in_flight += change
