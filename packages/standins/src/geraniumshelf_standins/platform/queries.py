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
    """Tell whether a conditional update of an object may take effect."""
    if expected is None:
        return True
    entry = state.objects.get(name)
    if entry is None:
        return expected == 0
    return expected == entry.version


def fault_for(state: PlatformState, source: str) -> Fault:
    """Return the first fault that concerns a caller."""
    for fault in state.faults:
        if not fault.only_from or source in fault.only_from:
            return fault
    return Fault()


def visible_objects(
    state: PlatformState, prefix: str, fault: Fault, now: int
) -> tuple[int, list[Entry]]:
    """Return the store version and the objects that a caller is shown."""
    undone = _hidden_changes(state, fault, now)
    shown = dict(state.objects) if undone else state.objects
    for change in undone:
        if change.previous is None:
            shown.pop(change.entry.name, None)
        else:
            shown[change.entry.name] = change.previous
    names = sorted(name for name in shown if name.startswith(prefix))
    return state.version - len(undone), [shown[name] for name in names]


def changes_after(
    state: PlatformState, prefix: str, after: int
) -> list[Entry] | None:
    """Return later changes, or ``None`` if some are no longer kept."""
    oldest = state.version - len(state.changes)
    if not oldest <= after <= state.version:
        return None
    later = takewhile(
        lambda change: change.entry.version > after, reversed(state.changes)
    )
    entries = [
        change.entry for change in later if change.entry.name.startswith(prefix)
    ]
    return list(reversed(entries))


def instances(
    state: PlatformState, now: int, lag_s: float
) -> tuple[Instance, ...]:
    """Return the instances declared at an earlier time."""
    limit = now - seconds_to_ns(lag_s)
    for listed in reversed(state.instance_lists):
        if listed.at <= limit:
            return listed.instances
    return ()


def _hidden_changes(
    state: PlatformState, fault: Fault, now: int
) -> list[Change]:
    version = state.version - fault.stale_versions
    limit = now - seconds_to_ns(fault.stale_s)
    return list(
        takewhile(
            lambda change: change.entry.version > version or change.at > limit,
            reversed(state.changes),
        )
    )
