"""Reports of loads and traffic that a daemon has received."""

from collections.abc import Mapping

from attrs import Factory, define, frozen

from geraniumshelf_core.units import Nanoseconds


@frozen
class ServerLoad:
    """The latest report of one backend server.

    Attributes:
        in_flight: Requests that it runs.
        slots: Requests that it can run at once, as reported.
        is_leaving: Whether it accepts no new work.
        measured_at: Time of the measurement, nanoseconds on the local clock.
    """

    in_flight: int
    slots: int
    is_leaving: bool
    measured_at: Nanoseconds


@frozen
class InstanceDemand:
    """The latest report of one entry instance.

    Attributes:
        received_at: Time of reception, nanoseconds on the local clock.
        requests: Average requests in flight by service and source region,
            micro-requests.
    """

    received_at: Nanoseconds
    requests: Mapping[tuple[str, str], int]


@define
class LoadTable:
    """Latest reports received, in memory only.

    Attributes:
        servers: Loads by server name.
        demands: Traffic by instance name.
        sequences: Latest sequence number and time of reception by origin.
    """

    servers: dict[str, ServerLoad] = Factory(dict)
    demands: dict[str, InstanceDemand] = Factory(dict)
    sequences: dict[str, tuple[int, Nanoseconds]] = Factory(dict)
