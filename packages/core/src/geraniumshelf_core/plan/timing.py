"""Time between the revisions of a plan."""

from typing import Final

from geraniumshelf_core.configuration.model import Service
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A plan revision reaches all daemons within this time.
PROPAGATION_S: Final = 3


def min_step_interval(service: Service) -> Nanoseconds:
    """Return the minimum time between two revisions, nanoseconds.

    It covers the propagation to all daemons and the time for which callers
    cache a look-up response, so that at most two revisions are in use at a
    time.
    """
    min_s = service.lookup_ttl_s + PROPAGATION_S
    return max(service.shift_cap.step_s, min_s) * SECOND_NS


def may_propose(
    first_seen: Nanoseconds, step: Nanoseconds, now: Nanoseconds
) -> bool:
    """Return whether a full step has passed since a revision was first seen.

    A revision is written before it is seen, so the result doesn't depend on
    the clocks of other proposers.
    """
    return now - first_seen >= step
