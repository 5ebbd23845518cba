"""Functions that read the state of the simulated platform."""

from itertools import takewhile

from geraniumshelf_core.units import seconds_to_ns
from geraniumshelf_standins.platform.state import (
    Change,
    Entry,
    Fault,
    Instance,
    PlatformState,
)


def condition_holds(
    state: PlatformState, name: str, expected: int | None
) -> bool:
    """Return whether an object has the expected version.

    Args:
        state: State of the platform.
        name: Full name of the object.
        expected: Expected version, 0 if it must not exist, ``None`` for any.
    """
    if expected is None:
        return True
    entry = state.objects.get(name)
    if entry is None:
        return expected == 0
    return expected == entry.version


def find_fault(state: PlatformState, source: str) -> Fault:
    """Return the first fault that applies to a source IP address."""
    for fault in state.faults:
        if not fault.only_from or source in fault.only_from:
            return fault
    return Fault()


def visible_objects(
    state: PlatformState, prefix: str, fault: Fault, now_ns: int
) -> tuple[int, list[Entry]]:
    """Return the store version and the objects that a read returns.

    Changes that are newer than the staleness set by the fault are hidden.
    """
    hidden = _hidden_changes(state, fault, now_ns)
    shown = dict(state.objects) if hidden else state.objects
    for change in hidden:
        if change.previous is None:
            shown.pop(change.entry.name, None)
        else:
            shown[change.entry.name] = change.previous
    names = sorted(name for name in shown if name.startswith(prefix))
    return state.version - len(hidden), [shown[name] for name in names]


def changes_after(
    state: PlatformState, prefix: str, after: int
) -> list[Entry] | None:
    """Return the changes after a version, in order of their version.

    The result is ``None`` if some of them are no longer kept, or if the version
    is newer than the store.
    """
    oldest_version = state.version - len(state.changes)
    if not oldest_version <= after <= state.version:
        return None
    later_changes = takewhile(
        lambda change: change.entry.version > after, reversed(state.changes)
    )
    entries = [
        change.entry
        for change in later_changes
        if change.entry.name.startswith(prefix)
    ]
    return list(reversed(entries))


def declared_instances(
    state: PlatformState, now_ns: int, lag_s: float
) -> tuple[Instance, ...]:
    """Return the instance list as it was ``lag_s`` seconds ago."""
    cutoff_ns = now_ns - seconds_to_ns(lag_s)
    for listed in reversed(state.instance_lists):
        if listed.declared_at_ns <= cutoff_ns:
            return listed.instances
    return ()


def _hidden_changes(
    state: PlatformState, fault: Fault, now_ns: int
) -> list[Change]:
    version = state.version - fault.stale_versions
    cutoff_ns = now_ns - seconds_to_ns(fault.stale_s)
    return list(
        takewhile(
            lambda change: (
                change.entry.version > version
                or change.changed_at_ns > cutoff_ns
            ),
            reversed(state.changes),
        )
    )
