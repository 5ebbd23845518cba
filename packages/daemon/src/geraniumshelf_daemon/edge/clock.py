"""The clock of all decisions."""

from time import CLOCK_BOOTTIME, clock_gettime_ns

from geraniumshelf_core.units import Nanoseconds


def boot_time() -> Nanoseconds:
    """Return a steady time that goes on while the instance is suspended.

    Terms of loans must have ended when a suspended borrower wakes up.
    """
    return clock_gettime_ns(CLOCK_BOOTTIME)
