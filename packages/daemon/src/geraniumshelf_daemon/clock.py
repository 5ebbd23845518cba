"""The only module of the daemon that reads a clock."""

import time

from geraniumshelf_core.units import Nanoseconds


def current_time() -> Nanoseconds:
    """Return nanoseconds since boot, including time spent suspended.

    Leases depend on it: with a clock that stops during suspension, a borrower
    would continue to use a loan after the end of its term.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
