"""The clock that all decisions use."""

from time import CLOCK_BOOTTIME, clock_gettime_ns

from geraniumshelf_core.units import Nanoseconds


def boot_time() -> Nanoseconds:
    """Return a monotonic time that also advances while suspended.

    When a suspended borrower resumes, its loans must have expired.
    """
    return clock_gettime_ns(CLOCK_BOOTTIME)
