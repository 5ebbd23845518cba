"""Simulated callers: arrivals of requests, and retries."""

from bisect import bisect
from itertools import accumulate
from math import pi, sin
from random import Random
from typing import Final

from attrs import define

from tools.emulator.experiment import Experiment, Kind

# A caller waits for Retry-After up to this fraction of the time that is left
# until its deadline.
_MAX_RETRY_DELAY_FRACTION: Final = 1 / 3
# Delay of a retry by a caller that ignores Retry-After.
_IMPATIENT_RETRY_DELAY_S: Final = 0.02


@define(eq=False)
class Request:
    """A request of a caller, over all its attempts.

    Attributes:
        kind: Kind of the request.
        name: Name of the requested object.
        zone: Zone of the caller.
        started_at: Time of the first attempt, seconds.
        last_attempt_at: Time of the last attempt by the caller, seconds.
        retries: Number of retries so far.
        abandons_at: Time at which the caller abandons the request before its
            deadline, seconds; ``None`` if it does not.
        is_finished: Whether the outcome is known.
    """

    kind: Kind
    name: str
    zone: int
    started_at: float
    last_attempt_at: float
    retries: int = 0
    abandons_at: float | None = None
    is_finished: bool = False

    @property
    def deadline(self) -> float:
        """Return the time at which the caller gives up, seconds."""
        return self.started_at + self.kind.deadline_ms / 1000


class Arrivals:
    """Random arrivals of requests.

    Args:
        experiment: Experiment that sets the rates, kinds and objects.
        random: Source of the arrival times, kinds and objects.
    """

    def __init__(self, experiment: Experiment, random: Random) -> None:
        self._experiment = experiment
        self._random = random
        self._kinds = experiment.kinds
        self._rates = tuple(
            accumulate(_request_rate(experiment, kind) for kind in self._kinds)
        )
        self._weights = {
            kind.name: tuple(
                accumulate(
                    1 / (rank + 1) ** kind.skew for rank in range(kind.objects)
                )
            )
            for kind in self._kinds
        }
        # Fraction of the requests that are for the first object.
        self.hot_object_fraction = float(0)
        # For a zone to which callers have moved: the zone from which they
        # come, and their fraction of the callers of the new zone.
        self.shifted_callers: dict[int, tuple[int, float]] = {}

    def draw(
        self, zone: int, now: float, demand_factor: float
    ) -> tuple[float, Request]:
        """Return the time to the next request of a zone, and that request.

        Args:
            zone: Zone of the callers.
            now: Current time, seconds.
            demand_factor: Factor on the request rate of the zone.
        """
        experiment = self._experiment
        phase = experiment.region_of(zone) / experiment.regions
        wave = sin(2 * pi * (now / experiment.period_s + phase))
        rate = self._rates[-1] / experiment.zone_count * demand_factor
        rate *= 1 + experiment.swing * wave
        wait = self._random.expovariate(max(rate, 0.01))
        drawn_rate = self._random.random() * self._rates[-1]
        kind = self._kinds[bisect(self._rates, drawn_rate)]
        started_at = now + wait
        object_zone = self._object_zone(zone)
        name = f'{experiment.region_of(object_zone)}/{self._draw_object(kind)}'
        request = Request(kind, name, zone, started_at, started_at)
        if self._random.random() < kind.leaves:
            request.abandons_at = started_at + kind.target_ms / 2000
        return wait, request

    def _object_zone(self, zone: int) -> int:
        """Return the zone whose objects a caller of a zone requests.

        Callers that have moved to another zone still request the objects of
        the zone from which they come.
        """
        shifted = self.shifted_callers.get(zone)
        if shifted is None or self._random.random() >= shifted[1]:
            return zone
        return shifted[0]

    def _draw_object(self, kind: Kind) -> str:
        if self._random.random() < self.hot_object_fraction:
            return '0'
        weights = self._weights[kind.name]
        return str(bisect(weights, self._random.random() * weights[-1]))


def choose_retry_delay(
    request: Request, wait_s: float, now: float, random: Random
) -> float | None:
    """Return the delay of the caller's next retry, seconds.

    Args:
        request: Request that was refused or failed.
        wait_s: Time after which the caller is asked to retry, seconds.
        now: Current time, seconds.
        random: Decides whether the caller waits for ``wait_s``.

    Returns:
        ``None`` if the caller does not retry.
    """
    if request.retries >= request.kind.retries:
        return None
    time_left = request.deadline - now
    if time_left <= 0:
        return None
    if random.random() < request.kind.impatient:
        return _IMPATIENT_RETRY_DELAY_S
    return min(wait_s, time_left * _MAX_RETRY_DELAY_FRACTION)


def _request_rate(experiment: Experiment, kind: Kind) -> float:
    service = next(
        candidate
        for candidate in experiment.services
        if candidate.name == kind.service
    )
    slots = sum(service.servers) * service.slots
    return experiment.demand * kind.part * slots / (kind.warm_ms / 1000)
