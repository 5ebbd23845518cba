"""Derives the bounds on callers from the settings of a daemon."""

from typing import Final

from geraniumshelf_core.site.model import CallerLimits
from geraniumshelf_core.units import ns_to_seconds
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.front.budget import (
    BudgetLimits,
    CallerBudget,
    CallerTimeouts,
)

# A daemon without callers uses 35 MB with one server listed, a quarter of the
# smallest machine (152 MB). The rest is for the records of a large fleet, for
# fragmented memory, and for what a closed connection's tasks hold until they
# end.
_MEMORY_DIVISOR: Final = 4
# A single request of legal size is charged less than this: a copy for a retry
# in small chunks, a head of short fields and a buffered response.
_LEAST_BYTES: Final = 25165824
# Callers and the connections that their requests use get a half, idle
# connections to servers a quarter; the store, health checks and listeners use
# the rest.
_CALLER_DIVISOR: Final = 2
_IDLE_DIVISOR: Final = 4


def make_budget(settings: EdgeSettings) -> CallerBudget:
    """Return the budget of callers of a daemon."""
    max_bytes = settings.memory_bytes // _MEMORY_DIVISOR
    if max_bytes:
        max_bytes = max(max_bytes, _LEAST_BYTES)
    return CallerBudget(
        BudgetLimits(max_bytes, settings.max_descriptors // _CALLER_DIVISOR)
    )


def max_idle_connections(settings: EdgeSettings) -> int:
    """Return how many idle connections to servers are kept, 0 for no bound."""
    return settings.max_descriptors // _IDLE_DIVISOR


def apply_timeouts(budget: CallerBudget, limits: CallerLimits) -> None:
    """Apply the times of a configuration that a caller may take."""
    defaults = CallerTimeouts()
    budget.timeouts = CallerTimeouts(
        ns_to_seconds(limits.header_timeout) or defaults.head_s,
        ns_to_seconds(limits.idle_timeout),
    )
