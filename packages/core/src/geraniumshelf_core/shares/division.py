"""Divides a limit among the daemons that may be alive."""

from math import floor


def whole_units(share: float, held: int) -> int:
    """Return how many whole units a daemon may use.

    Args:
        share: Units for each share of a limit.
        held: Shares that the daemon holds.

    >>> whole_units(27.5 / 9, 1), whole_units(27.5 / 9, 2)
    (3, 6)
    """
    return floor(share * held)


def cold_limit(rate: float, overshoot: float, slack: float) -> float:
    """Return how many requests a cold server may get in a second.

    Args:
        rate: Requests per second that the server bears.
        overshoot: Factor that is still allowed.
        slack: Requests that are allowed beyond.
    """
    return rate * overshoot + slack
