"""This daemon's share of the retry budget of each service.

When servers fail or shed many requests, retries stay a small fraction of the
traffic, so that they do not add to the overload.
"""

from attrs import define, field

from geraniumshelf_core.shares.bucket import ShareBucket, refill, resize
from geraniumshelf_core.shares.whole_shares import (
    WholeShares,
    count_shares,
)
from geraniumshelf_core.units import Nanoseconds

# Maximum number of unused retries earned by requests.
_MAX_EARNED = 4.0


@define
class ServiceBudget:
    """Retry budget of one service.

    Attributes:
        slack: Retries that are allowed regardless of the requests.
        earned: Unused retries earned by requests.
    """

    slack: ShareBucket
    earned: float = 0


@define
class RetryShares:
    """This daemon's shares of the retry budgets of all services.

    Attributes:
        ratio: Retries allowed for each request.
        slack: Retries allowed in addition per window, over all daemons.
        window_s: Length of the window, seconds.
        daemons: Number of daemons that share the slack.
        whole_shares: Whole shares that this daemon holds.
        started_at: Time at which this daemon started. Its buckets begin to fill
            then, as an earlier run may have spent the slack of the window.
        budgets: Budget by service.
    """

    ratio: float
    slack: float
    window_s: float
    daemons: int = 1
    whole_shares: WholeShares = field(factory=WholeShares)
    started_at: Nanoseconds = 0
    budgets: dict[str, ServiceBudget] = field(factory=dict)


def divide_slack(shares: RetryShares, daemons: int, now: Nanoseconds) -> None:
    """Divide the slack among a number of daemons."""
    shares.daemons = daemons
    for budget in shares.budgets.values():
        resize(budget.slack, *_slack_share(shares, now), now)


def earn_retries(shares: RetryShares, service: str, now: Nanoseconds) -> None:
    """Credit the retry budget of a service for one request."""
    budget = _budget(shares, service, now)
    budget.earned = min(_MAX_EARNED, budget.earned + shares.ratio)


def spend_retry(shares: RetryShares, service: str, now: Nanoseconds) -> bool:
    """Take a retry from a service's budget; return whether it allows one."""
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
    """Return whether ``spend_retry`` would allow a retry now."""
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
            ShareBucket(rate, capacity, filled_at=shares.started_at)
        )
        shares.budgets[service] = budget
    elif budget.slack.capacity != capacity:
        resize(budget.slack, rate, capacity, now)
    return budget


def _slack_share(shares: RetryShares, now: Nanoseconds) -> tuple[float, float]:
    # A full bucket and its refill within a window add up to the share, less
    # the retries that requests may have earned.
    held = count_shares(shares.whole_shares, now)
    share = shares.slack * held / shares.daemons
    capacity = max(0, share - _MAX_EARNED) / 2
    return capacity / shares.window_s, capacity
