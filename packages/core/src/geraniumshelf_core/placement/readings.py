"""Readings of servers that daemons exchange.

Each daemon gets a response from a given server every few seconds only. All
daemons of a region together get one every few tenths of a second, so they tell
each other of the load and the speed in each response.

Clocks of daemons differ, so a reading states its age, to which its receiver
adds the travel time of the message.
"""

from collections.abc import Iterable, Iterator
from typing import Final

from attrs import frozen

from geraniumshelf_core.placement.estimates import network_delay
from geraniumshelf_core.placement.speeds import (
    MAX_SPEED,
    MIN_SPEED,
    update_speed,
)
from geraniumshelf_core.placement.state import (
    REPORT_DECAY_NS,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

# Keeps a message within one datagram of 1,200 bytes for names of 12 characters.
MAX_READINGS: Final = 60
_MAX_REQUESTS: Final = 1_000_000
_PER_CENT: Final = 100
_MIN_PER_CENT: Final = round(MIN_SPEED * _PER_CENT)
_MAX_PER_CENT: Final = round(MAX_SPEED * _PER_CENT)
# Figures of a reading: running, waiting, speed and age.
_WIDTH: Final = 4
# One-way travel times between daemons; the slowest link between regions of the
# deployments takes 35 ms.
_ZONE_TRAVEL_NS: Final[Nanoseconds] = MILLISECOND_NS // 2
_REGION_TRAVEL_NS: Final[Nanoseconds] = 5 * MILLISECOND_NS
_MAX_TRAVEL_MS: Final = 35
_MAX_TRAVEL_NS: Final[Nanoseconds] = _MAX_TRAVEL_MS * MILLISECOND_NS


@frozen
class Reading:
    """Load and speed of a server at a time.

    Attributes:
        server: Name of the server.
        running: Requests of all daemons that it ran.
        waiting: Requests of all daemons that waited for a slot.
        speed: Multiple of the usual time that work took there.
        taken_at: Time at which the server sent them, by the clock of this
            daemon.
    """

    server: str
    running: int
    waiting: int
    speed: float
    taken_at: Nanoseconds


@frozen
class ServerReadings:
    """Message to another daemon with readings that its sender got itself.

    Attributes:
        sender: Name of the daemon.
        names: Names of the servers, the newest reading first.
        figures: For each server its running and waiting requests, its speed in
            per cent and the age of the reading in milliseconds.
    """

    sender: str
    names: tuple[str, ...]
    figures: tuple[int, ...]


def make_readings(
    sender: str, readings: Iterable[Reading], now: Nanoseconds
) -> ServerReadings | None:
    """Return the message with the newest readings.

    Args:
        sender: Name of this daemon.
        readings: Readings, the newest first.
        now: Current time.

    Returns:
        ``None`` if all readings have expired.
    """
    names: list[str] = []
    figures: list[int] = []
    for reading in readings:
        age = now - reading.taken_at
        if age < REPORT_DECAY_NS and len(names) < MAX_READINGS:
            names.append(reading.server)
            figures += (
                reading.running,
                reading.waiting,
                round(reading.speed * _PER_CENT),
                round(age / MILLISECOND_NS),
            )
    if not names:
        return None
    return ServerReadings(sender, tuple(names), tuple(figures))


def learn_readings(
    state: PlacementState,
    message: ServerReadings,
    travel: Nanoseconds,
    now: Nanoseconds,
) -> int:
    """Record the readings of another daemon.

    A reading that is older than the known one is ignored.

    Args:
        state: The state to change.
        message: The readings.
        travel: Time for which the message travelled.
        now: Time of its arrival.

    Returns:
        Number of valid readings in the message.
    """
    count = 0
    for reading in _read(message, now - travel):
        count += 1
        view = state.servers.get(reading.server)
        if view is not None:
            update_speed(view, reading.speed, reading.taken_at)
            _update_load(state, view, reading)
    return count


def travel_time(state: PlacementState, zone: str | None) -> Nanoseconds:
    """Return how long a message travels from a daemon in a zone.

    Args:
        state: Holds the place of this daemon.
        zone: Zone of the sender, ``None`` if it is unknown.
    """
    if zone == state.place.zone:
        return _ZONE_TRAVEL_NS
    if zone is None or state.regions.get(zone) != state.place.region:
        return _MAX_TRAVEL_NS
    return _REGION_TRAVEL_NS


def _read(message: ServerReadings, sent_at: Nanoseconds) -> Iterator[Reading]:
    """Yield the valid readings of a message."""
    figures = message.figures
    if len(figures) != _WIDTH * len(message.names):
        return
    if not all(type(figure) is int for figure in figures):
        return
    columns = (figures[column::_WIDTH] for column in range(_WIDTH))
    for name, running, waiting, per_cent, age_ms in zip(
        message.names, *columns, strict=True
    ):
        is_valid = (
            0 <= running <= _MAX_REQUESTS
            and 0 <= waiting <= _MAX_REQUESTS
            and _MIN_PER_CENT <= per_cent <= _MAX_PER_CENT
            and 0 <= age_ms * MILLISECOND_NS < REPORT_DECAY_NS
        )
        if is_valid:
            yield Reading(
                name,
                running,
                waiting,
                per_cent / _PER_CENT,
                sent_at - age_ms * MILLISECOND_NS,
            )


def _update_load(
    state: PlacementState, view: ServerView, reading: Reading
) -> None:
    known_at = view.reported_at
    if known_at is None or reading.taken_at > known_at:
        total = reading.running + reading.waiting
        own = _own_requests(state, view, reading.taken_at)
        view.other_requests = max(0, total - own)
        view.reported_at = reading.taken_at


def _own_requests(
    state: PlacementState, view: ServerView, at: Nanoseconds
) -> int:
    """Return the requests of this daemon that a server had at a time.

    Requests that are not sent yet or arrived later are not part of what the
    server reported. One that has ended since has brought a later reading.
    """
    sent_before = at - network_delay(state, view) // 2
    later = sum(sent_at > sent_before for sent_at in view.send_times)
    return max(0, view.in_flight - view.reserved_sends - later)
