"""When the next step of a plan may be proposed."""

from typing import Final

from geraniumshelf_core.configuration.model import Service
from geraniumshelf_core.units import SECOND_NS, Nanoseconds

# A plan revision reaches all daemons within this time.
PROPAGATION_S: Final = 3


def min_step_interval(service: Service) -> Nanoseconds:
    """Return the least time between two revisions, nanoseconds.

    It covers the propagation to all daemons and the time that callers cache
    an answer, so that at most two revisions are in use at a time.
    """
    least_s = service.lookup_ttl_s + PROPAGATION_S
    return max(service.shift_cap.step_s, least_s) * SECOND_NS


def may_propose(
    first_seen: Nanoseconds, step: Nanoseconds, now: Nanoseconds
) -> bool:
    """Tell whether a full step passed since a revision was first seen.

    The revision was written before it was seen, so this holds whatever the
    clocks of other proposers show.
    """
    return now - first_seen >= step
