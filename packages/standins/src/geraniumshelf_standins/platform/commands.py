"""Functions that modify the state of the simulated platform."""

import asyncio
from collections import Counter

from geraniumshelf_standins.platform.queries import (
    condition_holds,
    declared_instances,
)
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
    now_ns: int,
) -> int | None:
    """Store or delete an object if its version is the expected one.

    Args:
        state: State to modify.
        name: Full name of the object.
        content: New content, ``None`` to delete the object.
        expected: Version that the object must have, 0 if it must not exist,
            ``None`` for any.
        now_ns: Time, nanoseconds of the monotonic clock.

    Returns:
        The new version of the store, or ``None`` on a conflict.
    """
    if not condition_holds(state, name, expected):
        return None
    state.version += 1
    entry = Entry(name, state.version, content)
    state.changes.append(Change(now_ns, entry, state.objects.get(name)))
    if len(state.changes) > state.max_kept_changes:
        state.changes.popleft()
    if content is None:
        state.objects.pop(name, None)
    else:
        state.objects[name] = entry
    wake_watches(state)
    return state.version


def declare_instance(
    state: PlatformState, instance: Instance, now_ns: int
) -> None:
    """Add an instance to the list or replace it."""
    other_instances = _without(state, instance.name, now_ns)
    state.instance_lists.append(
        InstanceList(now_ns, (*other_instances, instance))
    )


def withdraw_instance(state: PlatformState, name: str, now_ns: int) -> None:
    """Remove an instance from the list."""
    state.instance_lists.append(
        InstanceList(now_ns, _without(state, name, now_ns))
    )


def count_call(state: PlatformState, kind: str, source: str) -> None:
    """Count an API call of a kind from a source IP address."""
    state.calls[kind] += 1
    state.caller_calls.setdefault(source, Counter())[kind] += 1


def replace_faults(state: PlatformState, faults: tuple[Fault, ...]) -> None:
    """Replace all faults and apply them to pending watches too."""
    state.faults = faults
    wake_watches(state)


def wake_watches(state: PlatformState) -> None:
    """Make pending watches check the state again."""
    previous_event = state.changed
    state.changed = asyncio.Event()
    previous_event.set()


def _without(
    state: PlatformState, name: str, now_ns: int
) -> tuple[Instance, ...]:
    return tuple(
        instance
        for instance in declared_instances(state, now_ns, 0)
        if instance.name != name
    )
