"""In-memory state of the simulated platform."""

import asyncio
from collections import Counter, deque

from attrs import Factory, define, field, frozen

MAX_KEPT_CHANGES = 10_000


@frozen
class Entry:
    """An object of the store.

    Attributes:
        name: Full name.
        version: Version of the store after the last change of the object.
        content: Content, ``None`` for a deleted object.
    """

    name: str
    version: int
    content: bytes | None


@frozen
class Change:
    """A change of one object.

    Attributes:
        changed_at_ns: Time, nanoseconds of the monotonic clock.
        entry: The object after the change.
        previous: The object before the change, if there was one.
    """

    changed_at_ns: int
    entry: Entry
    previous: Entry | None


@frozen
class Instance:
    """An entry instance as declared to the platform.

    Attributes:
        name: Instance name.
        zone: Availability zone.
        peer_address: Address for other daemons, ``HOST:PORT``.
        is_leaving: Whether the platform is about to stop the instance.
    """

    name: str
    zone: str
    peer_address: str
    is_leaving: bool = False


@frozen
class InstanceList:
    """The instances that are declared from a time on.

    Attributes:
        declared_at_ns: Time, nanoseconds of the monotonic clock.
        instances: All declared instances.
    """

    declared_at_ns: int
    instances: tuple[Instance, ...]


@define
class Fault:
    """Faults that apply to callers by their source IP address.

    Attributes:
        only_from: Source IP addresses that it applies to, empty for all.
        down: ``refuse`` closes connections without a response,
            ``unavailable`` responds with 503, empty for neither.
        delay_s: Delay before each response, seconds.
        lose_answers: Number of the next writes that take effect but get no
            response.
        stale_s: Staleness of reads, seconds.
        stale_versions: Staleness of reads in versions of the store.
        stall_watches: Whether watches get no response.
    """

    only_from: tuple[str, ...] = ()
    down: str = ''
    delay_s: float = 0
    lose_answers: int = 0
    stale_s: float = 0
    stale_versions: int = 0
    stall_watches: bool = False


@define
class PlatformState:
    """State of the simulated platform.

    Attributes:
        max_kept_changes: Number of changes that are kept for watches.
        instance_lag_s: Lag of the instance list, seconds.
        version: Version of the store, which each change increments.
        objects: Stored objects by name.
        changes: Last changes, in order of their version.
        instance_lists: Instance lists in order of their time.
        faults: Faults in force; the first that applies to a caller counts.
        calls: Number of API calls by kind.
        caller_calls: Number of API calls by kind, by source IP address.
        changed: Set and replaced when pending watches must check the state.
    """

    max_kept_changes: int = MAX_KEPT_CHANGES
    instance_lag_s: float = 0
    version: int = 0
    objects: dict[str, Entry] = Factory(dict)
    changes: deque[Change] = Factory(deque)
    instance_lists: list[InstanceList] = Factory(list)
    faults: tuple[Fault, ...] = ()
    calls: Counter[str] = Factory(Counter)
    caller_calls: dict[str, Counter[str]] = Factory(dict)
    changed: asyncio.Event = field(factory=asyncio.Event)
