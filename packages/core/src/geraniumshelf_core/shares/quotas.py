"""Shares of the rates of client accounts.

Answers an account that sends several times its rate to many daemons at once:
each daemon admits its own part, so the sum holds without a message.
"""

from collections.abc import Iterable

from attrs import define, field

from geraniumshelf_core.shares.bucket import (
    ShareBucket,
    resize,
    take,
    time_to_token,
)
from geraniumshelf_core.site.model import SiteAccount
from geraniumshelf_core.units import Nanoseconds


@define
class Quotas:
    """This daemon's buckets.

    Attributes:
        overshoot: Part of a rate that is allowed beyond it.
        slack: Requests that are allowed beyond the burst in a window.
        buckets: Bucket by account name.
    """

    overshoot: float
    slack: float
    buckets: dict[str, ShareBucket] = field(factory=dict)


def divide_quotas(
    quotas: Quotas,
    accounts: Iterable[SiteAccount],
    daemons: int,
    now: Nanoseconds,
) -> None:
    """Take over the limits of a configuration for a number of daemons."""
    wanted = {one.name: one for one in accounts if one.rate > 0}
    for name in quotas.buckets.keys() - wanted.keys():
        del quotas.buckets[name]
    factor = 1 + quotas.overshoot
    for name, account in wanted.items():
        rate = account.rate * factor / daemons
        capacity = (account.burst * factor + quotas.slack) / daemons
        bucket = quotas.buckets.get(name)
        if bucket is None:
            bucket = ShareBucket(rate, capacity, filled_at=now)
            quotas.buckets[name] = bucket
        resize(bucket, rate, capacity)


def admit(quotas: Quotas, account: str, now: Nanoseconds) -> bool:
    """Take a token of an account; an account without a limit needs none."""
    bucket = quotas.buckets.get(account)
    return bucket is None or take(bucket, now)


def wait_for_admission(quotas: Quotas, account: str) -> Nanoseconds:
    """Return the time until an account that was refused has a token."""
    bucket = quotas.buckets.get(account)
    return 0 if bucket is None else time_to_token(bucket)
