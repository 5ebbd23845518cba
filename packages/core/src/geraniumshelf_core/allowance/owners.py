"""Owners: the daemons at which the allowance of an account is pooled."""

from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import Final

# Smaller parts refuse in-rate bursts: two parts of a burst of 12 refused
# 0.06% and three refused 0.9% in the experiment on the design page.
LEAST_PART_BURST: Final = 60

_TAG_BYTES: Final = 4


def ranked(account: str, instances: Iterable[str]) -> list[str]:
    """Order instances for an account by rendezvous hash, best first."""
    return sorted(
        instances,
        key=lambda instance: sha256(f'{account}\n{instance}'.encode()).digest(),
        reverse=True,
    )


def account_owners(
    account: str, burst: int, regions: Mapping[str, str]
) -> dict[str, str]:
    """Return the owner for each region.

    Args:
        account: Account name.
        burst: Burst of the account, requests.
        regions: Region of each live slot holder, by instance name.
    """
    names = set(regions.values())
    if burst >= LEAST_PART_BURST * max(1, len(names)):
        return {
            name: ranked(
                account,
                [each for each, region in regions.items() if region == name],
            )[0]
            for name in names
        }
    order = ranked(account, regions)
    return dict.fromkeys(names, order[0]) if order else {}


def account_tags(accounts: Iterable[str]) -> dict[int, str]:
    """Name accounts by 32-bit tags, the same at every revision.

    Accounts whose tags clash have none: their floors are then not lent.
    """
    tags: dict[int, str] = {}
    clashes = set()
    for account in accounts:
        digest = sha256(account.encode()).digest()
        tag = int.from_bytes(digest[:_TAG_BYTES], 'big')
        if tag in tags:
            clashes.add(tag)
        tags[tag] = account
    return {tag: name for tag, name in tags.items() if tag not in clashes}
