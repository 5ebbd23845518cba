"""Counts of the requests that a daemon recently sent to other regions."""

from collections import deque
from typing import Final

from attrs import Factory, define

from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# An allowance holds over every sliding window of this length, so that unused
# allowance of a quiet minute does not accumulate and allow a burst later.
ALLOWANCE_WINDOW_NS: Final[Nanoseconds] = 10 * SECOND_NS

# Requests are counted in buckets. A bucket that lies only partly in the window
# counts towards the requests sent but not towards the arrivals, so that the
# allowance is never exceeded; short buckets keep the allowance that this leaves
# unused below a twentieth.
BUCKETS_PER_WINDOW: Final = 20
BUCKET_NS: Final[Nanoseconds] = ALLOWANCE_WINDOW_NS // BUCKETS_PER_WINDOW


@define
class SpillBucket:
    """Requests counted during one bucket of the window.

    Attributes:
        index: Time of the bucket, in multiples of ``BUCKET_NS``.
        arrivals: Number of requests that arrived.
        sent: Number of requests sent, by destination region.
    """

    index: int
    arrivals: int = 0
    sent: dict[str, int] = Factory(dict)


@define
class SpillWindow:
    """The buckets of one service in the current window.

    Attributes:
        buckets: The buckets, oldest first.
    """

    buckets: deque[SpillBucket] = Factory(deque)
