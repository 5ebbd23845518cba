"""Limits the number of log lines about single requests."""

from attrs import define

from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event

# Limits the log volume under load: an overloaded daemon rejects hundreds of
# requests a second.
MAX_LINES_PER_SECOND = 40
_MAX_SERVED_PER_SECOND = 2


@define
class LogBudget:
    """Log lines written in the current second.

    Attributes:
        second: The second to which the counts apply.
        lines: Lines about refused, retried and failed requests.
        served: Lines about served requests.
        dropped: Lines that were dropped because the budget was used up.
    """

    second: int = 0
    lines: int = 0
    served: int = 0
    dropped: int = 0


def log_request(
    budget: LogBudget,
    event: Event,
    detail: str,
    now: Nanoseconds,
    **fields: object,
) -> None:
    """Log a line about a request if the budget allows it."""
    _start_second(budget, now)
    if event is Event.REQUEST_SERVED:
        if budget.served >= _MAX_SERVED_PER_SECOND:
            return
        budget.served += 1
    elif budget.lines >= MAX_LINES_PER_SECOND:
        budget.dropped += 1
        return
    else:
        budget.lines += 1
    log_event(event, detail, **fields)


def _start_second(budget: LogBudget, now: Nanoseconds) -> None:
    second = now // SECOND_NS
    if second == budget.second:
        return
    if budget.dropped:
        log_event(Event.LINES_DROPPED, lines=budget.dropped)
    budget.second = second
    budget.lines = 0
    budget.served = 0
    budget.dropped = 0
