"""Division of limits among the daemons that may be alive."""

from math import floor


def whole_units(share: float, held: int) -> int:
    """Return how many whole units of a limit a daemon may use.

    Args:
        share: Units for each share of the limit.
        held: Shares that the daemon holds.

    >>> whole_units(27.5 / 9, 1), whole_units(27.5 / 9, 2)
    (3, 6)
    """
    return floor(share * held)


def cold_limit(rate: float, overshoot: float, slack: float) -> float:
    """Return the maximum number of requests per second to a cold server.

    Args:
        rate: Requests per second that the cold server can handle.
        overshoot: Factor by which the rate may be exceeded.
        slack: Requests that are allowed in addition.
    """
    return rate * overshoot + slack
