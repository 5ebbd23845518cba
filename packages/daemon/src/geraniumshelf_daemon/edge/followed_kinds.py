"""Kinds of objects that an entry follows, in the order of heartbeats."""

from collections.abc import Sequence
from typing import Final

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_daemon.edge.interface import RecordKind

# In the order of ``changes`` in a heartbeat.
FOLLOWED_KINDS: Final = (
    RecordKind.CONFIGURATION,
    RecordKind.SERVERS,
    RecordKind.EVACUATIONS,
)
CONFIGURATION_INDEX: Final = FOLLOWED_KINDS.index(RecordKind.CONFIGURATION)
SERVERS_INDEX: Final = FOLLOWED_KINDS.index(RecordKind.SERVERS)
EVACUATIONS_INDEX: Final = FOLLOWED_KINDS.index(RecordKind.EVACUATIONS)
# Kinds that change rarely and for all daemons. Servers change all the time, and
# a heartbeat for each change would cost too much.
_URGENT_INDICES: Final = (CONFIGURATION_INDEX, EVACUATIONS_INDEX)


def is_change_urgent(
    reported: Sequence[StoreRevision], current: Sequence[StoreRevision]
) -> bool:
    """Return whether the other daemons should get a report at once.

    Until the next heartbeat, up to 2 s later in a large zone, a daemon whose
    own watch is silent would use the former configuration or evacuations.

    Args:
        reported: Revision of the last change of each kind that was reported.
        current: The same as it is now known.
    """
    if min(len(reported), len(current)) < len(FOLLOWED_KINDS):
        # The daemon does not follow the store, or has just begun to.
        return False
    return any(current[index] > reported[index] for index in _URGENT_INDICES)
