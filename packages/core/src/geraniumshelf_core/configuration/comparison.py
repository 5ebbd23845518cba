"""Comparison of two configurations."""

from enum import Enum, unique
from typing import Any, Final

from attrs import fields, frozen

from geraniumshelf_core.configuration.identity import COLLECTIONS, identity_of
from geraniumshelf_core.configuration.model import Configuration

_SETTING_NAMES: Final = ('deployment', 'drained', 'slot_hold_s', 'lowered')
_HIDDEN_FIELDS: Final = frozenset(('digest',))


@unique
class Action(Enum):
    """How an entry or setting was changed."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@frozen
class Change:
    """A change of one entry or setting.

    Attributes:
        kind: Collection, such as ``accounts``, or name of the setting.
        name: Identity of the entry, or name of the setting.
        action: Whether it was added, removed or changed.
        detail: Changed values, ``burst 12 -> 24``; never a digest.
    """

    kind: str
    name: str
    action: Action
    detail: str = ''


@frozen
class LoweredLimit:
    """A limit that is lower than before, or removed.

    Attributes:
        account: Client account.
        limit: ``rate_per_s`` or ``burst``.
        before: Previous value.
        after: New value, 0 if the account was removed.
    """

    account: str
    limit: str
    before: int
    after: int


def find_changes(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes that turn the old configuration into the new one."""
    changes = [
        Change(name, name, Action.CHANGED, _format_change(old, new, name))
        for name in _SETTING_NAMES
        if getattr(old, name) != getattr(new, name)
    ]
    for kind in COLLECTIONS:
        changes.extend(_find_collection_changes(kind, old, new))
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


def _find_collection_changes(
    kind: str, old: Configuration, new: Configuration
) -> list[Change]:
    before = {identity_of(entry): entry for entry in getattr(old, kind)}
    after = {identity_of(entry): entry for entry in getattr(new, kind)}
    changes = []
    for identity in sorted({*before, *after}):
        change = _find_entry_change(
            kind, before.get(identity), after.get(identity)
        )
        if change is not None:
            changes.append(change)
    return changes


def _find_entry_change(kind: str, before: Any, after: Any) -> Change | None:
    if before == after:
        return None
    name = _display_name(before or after)
    if before is None:
        return Change(kind, name, Action.ADDED)
    if after is None:
        return Change(kind, name, Action.REMOVED)
    return Change(
        kind, name, Action.CHANGED, _describe_changed_values(before, after)
    )


def _display_name(entry: Any) -> str:
    if 'digest' in {attribute.name for attribute in fields(type(entry))}:
        return str(entry.label)
    return ' '.join(identity_of(entry))


def _describe_changed_values(before: Any, after: Any) -> str:
    return ', '.join(
        f'{attribute.name} {_format_change(before, after, attribute.name)}'
        for attribute in fields(type(before))
        if getattr(before, attribute.name) != getattr(after, attribute.name)
    )


def _format_change(before: Any, after: Any, name: str) -> str:
    if name in _HIDDEN_FIELDS:
        return 'changed'
    return f'{getattr(before, name)} -> {getattr(after, name)}'
