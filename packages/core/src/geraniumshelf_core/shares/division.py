"""Divides a limit among the daemons that may be alive."""

from math import floor


def whole_share(limit: float, holders: int) -> int:
    """Return how many whole units each of some holders may use.

    >>> whole_share(27.5, 3)
    9
    """
    return floor(limit / max(1, holders))


def cold_limit(rate: float, overshoot: float, slack: float) -> float:
    """Return how many requests a cold server may get in a second.

    Args:
        rate: Requests per second that the server bears.
        overshoot: Factor that is still allowed.
        slack: Requests that are allowed beyond.
    """
    return rate * overshoot + slack
