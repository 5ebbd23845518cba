"""Functions that modify the state of the simulated platform."""

import asyncio
from collections import Counter

from geraniumshelf_standins.platform.queries import condition_holds, instances
from geraniumshelf_standins.platform.state import (
    Change,
    Entry,
    Fault,
    Instance,
    InstanceList,
    PlatformState,
)


def store_object(
    state: PlatformState,
    name: str,
    content: bytes | None,
    expected: int | None,
    now: int,
) -> int | None:
    """Store or delete an object and return its version.

    Args:
        state: State to modify.
        name: Full name.
        content: Value, ``None`` to delete.
        expected: Version that the object must have, 0 if it must not exist,
            ``None`` for any.
        now: Time, nanoseconds.

    Returns:
        The new version of the store, or ``None`` on a conflict.
    """
    if not condition_holds(state, name, expected):
        return None
    state.version += 1
    entry = Entry(name, state.version, content)
    state.changes.append(Change(now, entry, state.objects.get(name)))
    if len(state.changes) > state.history_limit:
        state.changes.popleft()
    if content is None:
        state.objects.pop(name, None)
    else:
        state.objects[name] = entry
    wake_watches(state)
    return state.version


def declare_instance(
    state: PlatformState, instance: Instance, now: int
) -> None:
    """Add or replace a declared instance."""
    others = _without(state, instance.name, now)
    state.instance_lists.append(InstanceList(now, (*others, instance)))


def withdraw_instance(state: PlatformState, name: str, now: int) -> None:
    """Remove a declared instance."""
    state.instance_lists.append(InstanceList(now, _without(state, name, now)))


def count_call(state: PlatformState, kind: str, source: str) -> None:
    """Count a call of a kind by a source IP address."""
    state.calls[kind] += 1
    state.caller_calls.setdefault(source, Counter())[kind] += 1


def replace_faults(state: PlatformState, faults: tuple[Fault, ...]) -> None:
    """Put other faults in force, for pending watches as well."""
    state.faults = faults
    wake_watches(state)


def wake_watches(state: PlatformState) -> None:
    """Let pending watches look at the state again."""
    woken = state.changed
    state.changed = asyncio.Event()
    woken.set()


def _without(state: PlatformState, name: str, now: int) -> tuple[Instance, ...]:
    return tuple(
        instance
        for instance in instances(state, now, 0)
        if instance.name != name
    )
