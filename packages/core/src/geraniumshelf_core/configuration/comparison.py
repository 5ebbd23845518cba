"""Differences between two configurations."""

from enum import Enum, unique
from typing import Any, Final

from attrs import fields, frozen

from geraniumshelf_core.configuration.identity import COLLECTIONS, identity_of
from geraniumshelf_core.configuration.model import Configuration

_SETTINGS: Final = ('deployment', 'drained', 'slot_hold_s', 'lowered')
_HIDDEN: Final = frozenset(('digest',))


@unique
class Action(Enum):
    """What happened to an entry."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@frozen
class Change:
    """A change of one entry or setting.

    Attributes:
        kind: Collection or setting, ``accounts``.
        name: Identity of the entry.
        action: What happened.
        detail: Changed values, ``burst 12 -> 24``; never a digest.
    """

    kind: str
    name: str
    action: Action
    detail: str = ''


@frozen
class LoweredLimit:
    """A limit that is lower than before, or gone.

    Attributes:
        account: Client account.
        limit: ``rate_per_s`` or ``burst``.
        before: Former value.
        after: New value, 0 if the account is gone.
    """

    account: str
    limit: str
    before: int
    after: int


def find_changes(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes that lead from one configuration to another."""
    changes = [
        Change(name, name, Action.CHANGED, _arrow(old, new, name))
        for name in _SETTINGS
        if getattr(old, name) != getattr(new, name)
    ]
    for kind in COLLECTIONS:
        changes.extend(_collection(kind, old, new))
    return tuple(changes)


def find_lowered_limits(
    old: Configuration, new: Configuration
) -> tuple[LoweredLimit, ...]:
    """Return the limits of client accounts that a change would lower."""
    accounts = {account.name: account for account in new.accounts}
    found = [
        LoweredLimit(
            account.name,
            limit,
            getattr(account, limit),
            getattr(accounts.get(account.name), limit, 0),
        )
        for account in old.accounts
        for limit in ('rate_per_s', 'burst')
    ]
    return tuple(limit for limit in found if limit.after < limit.before)


def _collection(
    kind: str, old: Configuration, new: Configuration
) -> list[Change]:
    before = {identity_of(entry): entry for entry in getattr(old, kind)}
    after = {identity_of(entry): entry for entry in getattr(new, kind)}
    changes = []
    for identity in sorted({*before, *after}):
        change = _entry(kind, before.get(identity), after.get(identity))
        if change is not None:
            changes.append(change)
    return changes


def _entry(kind: str, before: Any, after: Any) -> Change | None:
    if before == after:
        return None
    name = _name(before or after)
    if before is None:
        return Change(kind, name, Action.ADDED)
    if after is None:
        return Change(kind, name, Action.REMOVED)
    return Change(kind, name, Action.CHANGED, _changed_values(before, after))


def _name(entry: Any) -> str:
    if 'digest' in {attribute.name for attribute in fields(type(entry))}:
        return str(entry.label)
    return ' '.join(identity_of(entry))


def _changed_values(before: Any, after: Any) -> str:
    return ', '.join(
        f'{attribute.name} {_arrow(before, after, attribute.name)}'
        for attribute in fields(type(before))
        if getattr(before, attribute.name) != getattr(after, attribute.name)
    )


def _arrow(before: Any, after: Any, name: str) -> str:
    if name in _HIDDEN:
        return 'changed'
    return f'{getattr(before, name)} -> {getattr(after, name)}'
