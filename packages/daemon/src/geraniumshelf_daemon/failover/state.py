"""What a daemon has sent to other regions of late."""

from typing import Final

from attrs import define, field

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# An allowance holds over this time, so that a few requests in a quiet minute
# do not add up to a burst later.
ALLOWANCE_SPAN_NS: Final[Nanoseconds] = 10 * SECOND_NS


@define
class ServiceSpill:
    """Arrivals of a service and what was sent to each region.

    Attributes:
        since: Start of the span that is counted.
        arrivals: Requests that arrived in the span.
        earlier_arrivals: Requests of the span before.
        sent: Requests sent in the span by region.
    """

    since: Nanoseconds
    arrivals: int = 0
    earlier_arrivals: int = 0
    sent: dict[str, int] = field(factory=dict)
