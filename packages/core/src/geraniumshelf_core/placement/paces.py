"""The pace of a server that has just started or recovered."""

from enum import StrEnum, unique

from attrs import define

from geraniumshelf_core.units import Nanoseconds


@unique
class PaceCause(StrEnum):
    """Why a server is paced."""

    COLD = 'cold'
    EJECTED = 'ejected'


@define(eq=False)
class Pace:
    """Limits on the requests of this daemon to a server.

    Attributes:
        cause: Why the server is paced.
        rate: Maximum number of requests in a second.
        in_flight: Maximum number of requests in flight.
        changed_at: Time at which the pace began or was last reduced.
        is_reduced: Whether it has been reduced.
    """

    cause: PaceCause
    rate: float
    in_flight: float
    changed_at: Nanoseconds
    is_reduced: bool = False
