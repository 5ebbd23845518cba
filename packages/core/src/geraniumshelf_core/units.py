"""Units of time and quantity as integers."""

Nanoseconds = int

MICROSECOND_NS: Nanoseconds = 1_000
MILLISECOND_NS: Nanoseconds = 1_000_000
SECOND_NS: Nanoseconds = 1_000_000_000

# Tokens, requests and slots are counted in millionths of a unit.
MICROS_PER_UNIT = 1_000_000
PARTS_PER_MILLION = 1_000_000


def seconds_to_ns(seconds: float) -> Nanoseconds:
    """Convert seconds to whole nanoseconds.

    >>> seconds_to_ns(1.5)
    1500000000
    """
    return round(seconds * SECOND_NS)


def ns_to_seconds(nanoseconds: Nanoseconds) -> float:
    """Convert nanoseconds to seconds.

    >>> ns_to_seconds(250_000_000)
    0.25
    """
    return nanoseconds / SECOND_NS
