"""What a daemon has sent to other regions of late."""

from collections import deque
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# An allowance holds over any span of this length, so that a few requests in a
# quiet minute do not add up to a burst later.
ALLOWANCE_SPAN_NS: Final[Nanoseconds] = 10 * SECOND_NS

# Requests are counted in parts of the span. A part that lies only partly in
# the span counts for what was sent but not for what arrived; short parts keep
# what this leaves unused below a twentieth of the allowance.
PARTS: Final = 20
PART_NS: Final[Nanoseconds] = ALLOWANCE_SPAN_NS // PARTS


@define
class SpillPart:
    """Requests counted in one part of the span.

    Attributes:
        number: Number of the part since the start of the clock.
        arrivals: Requests that arrived.
        sent: Requests sent by region.
    """

    number: int
    arrivals: int = 0
    sent: dict[str, int] = Factory(dict)


@define
class ServiceSpill:
    """The latest parts of a service, oldest first."""

    parts: deque[SpillPart] = Factory(deque)
