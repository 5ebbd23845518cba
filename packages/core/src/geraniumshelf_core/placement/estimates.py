"""Estimates the load of a server and the latency of a request there."""

from typing import Final

from geraniumshelf_core.placement.state import (
    REPORT_DECAY_NS,
    SPEED_DECAY_NS,
    Candidate,
    PlacementState,
    ServerView,
    TypicalWork,
)
from geraniumshelf_core.units import MILLISECOND_NS, SECOND_NS, Nanoseconds

# Expected work of a service that has not responded yet.
_DEFAULT_WARM_MS: Final = 120
_DEFAULT_WARM_NS: Final[Nanoseconds] = _DEFAULT_WARM_MS * MILLISECOND_NS
_DEFAULT_COLD_MS: Final = 400
_DEFAULT_COLD_NS: Final[Nanoseconds] = _DEFAULT_COLD_MS * MILLISECOND_NS
# Round-trip time between regions; the slowest link of the deployments takes
# 35 ms one way.
_REGION_DELAY_MS: Final = 70
_REGION_DELAY_NS: Final[Nanoseconds] = _REGION_DELAY_MS * MILLISECOND_NS
# Round-trip time between zones of a region.
_ZONE_DELAY_NS: Final[Nanoseconds] = 10 * MILLISECOND_NS
# The slowness of a server halves after each such interval without a response,
# so that a server that was slow is tried again.
_SLOWNESS_HALF_LIFE_NS: Final[Nanoseconds] = 2 * SECOND_NS


def estimated_load(view: ServerView, now: Nanoseconds) -> float:
    """Return the requests that a server runs and queues, by the last report."""
    if view.reported_at is None:
        return view.in_flight
    age = min(now - view.reported_at, REPORT_DECAY_NS)
    return view.in_flight + view.other_requests * (1 - age / REPORT_DECAY_NS)


def typical_work(state: PlacementState, service: str) -> TypicalWork:
    """Return the average work of a service, or defaults if it is unknown."""
    known = state.typical_work_times.get(service)
    return known or TypicalWork(_DEFAULT_WARM_NS, _DEFAULT_COLD_NS)


def looks_warm(typical: TypicalWork, work: Nanoseconds) -> bool:
    """Return whether work was as short as for a warm object.

    The threshold is the geometric mean of the two averages.
    """
    return work**2 < typical.warm * typical.cold


def slowness(view: ServerView, now: Nanoseconds) -> float:
    """Return how many times the expected work a server takes."""
    halvings = min((now - view.last_response_at) / _SLOWNESS_HALF_LIFE_NS, 10)
    return 1 + (view.slowness - 1) * float(0.5**halvings)


def speed_factor(view: ServerView, now: Nanoseconds) -> float:
    """Return the multiple of the usual time that work takes on a server now.

    The weight of the last reading falls linearly with its age.
    """
    age = min(max(0, now - view.speed_at), SPEED_DECAY_NS)
    return 1 + (view.speed - 1) * (1 - age / SPEED_DECAY_NS)


def make_candidate(
    state: PlacementState,
    view: ServerView,
    typical: TypicalWork,
    is_warm: bool,
    now: Nanoseconds,
) -> Candidate:
    """Return a server as a candidate, with the expected times.

    Args:
        state: All listed servers.
        view: The server.
        typical: Average work of its service.
        is_warm: Whether the object is expected to be warm there.
        now: Current time.
    """
    speed = speed_factor(view, now)
    factor = slowness(view, now) * speed
    slots = max(1, view.server.slots)
    queued = max(0, estimated_load(view, now) - slots + 1)
    work = typical.warm if is_warm else typical.cold
    return Candidate(
        view,
        round(queued * typical.warm * factor / slots),
        round(work * factor),
        network_delay(state, view),
        round(typical.warm),
        estimated_load(view, now) / slots,
        speed,
    )


def network_delay(state: PlacementState, view: ServerView) -> Nanoseconds:
    """Return the network round-trip time to a server."""
    if view.region != state.place.region:
        return _REGION_DELAY_NS
    return 0 if view.server.zone == state.place.zone else _ZONE_DELAY_NS
