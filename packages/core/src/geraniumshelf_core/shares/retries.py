"""This daemon's share of the retry budget of each service.

Answers servers that fail or shed many requests: repeats stay a small part of
the traffic, so that they don't add to the overload.
"""

from attrs import define, field

from geraniumshelf_core.shares.bucket import ShareBucket, refill, resize
from geraniumshelf_core.shares.holding import Holding, held_shares
from geraniumshelf_core.units import Nanoseconds

# Repeats earned by requests that are kept for later.
_MOST_EARNED = 4.0


@define
class ServiceBudget:
    """Repeats that may be sent to one service.

    Attributes:
        slack: Repeats that need no requests.
        earned: Repeats earned by requests.
    """

    slack: ShareBucket
    earned: float = 0


@define
class RetryShares:
    """Budgets of all services.

    Attributes:
        ratio: Repeats allowed for each request.
        slack: Repeats allowed beyond in a window, over all daemons.
        window_s: Length of the window, seconds.
        daemons: Daemons that share the slack.
        holding: Whole shares that this daemon holds.
        budgets: Budget by service.
    """

    ratio: float
    slack: float
    window_s: float
    daemons: int = 1
    holding: Holding = field(factory=Holding)
    budgets: dict[str, ServiceBudget] = field(factory=dict)


def divide_slack(shares: RetryShares, daemons: int, now: Nanoseconds) -> None:
    """Divide the slack among a number of daemons."""
    shares.daemons = daemons
    for budget in shares.budgets.values():
        resize(budget.slack, *_slack_share(shares, now), now)


def earn_retries(shares: RetryShares, service: str, now: Nanoseconds) -> None:
    """Count a request to a service."""
    budget = _budget(shares, service, now)
    budget.earned = min(_MOST_EARNED, budget.earned + shares.ratio)


def spend_retry(shares: RetryShares, service: str, now: Nanoseconds) -> bool:
    """Take a repeat out of a service's budget if it allows one."""
    budget = _budget(shares, service, now)
    if budget.earned >= 1:
        budget.earned -= 1
        return True
    refill(budget.slack, now)
    if budget.slack.tokens < 1:
        return False
    budget.slack.tokens -= 1
    return True


def can_spend_retry(
    shares: RetryShares, service: str, now: Nanoseconds
) -> bool:
    """Return whether ``spend_retry`` would allow a repeat now."""
    budget = _budget(shares, service, now)
    refill(budget.slack, now)
    return budget.earned >= 1 or budget.slack.tokens >= 1


def _budget(
    shares: RetryShares, service: str, now: Nanoseconds
) -> ServiceBudget:
    budget = shares.budgets.get(service)
    rate, capacity = _slack_share(shares, now)
    if budget is None:
        budget = ServiceBudget(
            ShareBucket(rate, capacity, capacity, filled_at=now)
        )
        shares.budgets[service] = budget
    elif budget.slack.capacity != capacity:
        resize(budget.slack, rate, capacity, now)
    return budget


def _slack_share(shares: RetryShares, now: Nanoseconds) -> tuple[float, float]:
    # A full bucket and its refill within a window add up to the share.
    held = held_shares(shares.holding, now)
    share = shares.slack * held / shares.daemons
    capacity = max(0, share - _MOST_EARNED) / 2
    return capacity / shares.window_s, capacity
