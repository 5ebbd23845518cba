"""The only place where the daemon reads a clock."""

import time

from geraniumshelf_core.units import Nanoseconds


def current_time() -> Nanoseconds:
    """Return nanoseconds since boot, counting time spent suspended.

    Leases rely on it: a clock that stops during suspension would let a
    borrower go on after its term.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
