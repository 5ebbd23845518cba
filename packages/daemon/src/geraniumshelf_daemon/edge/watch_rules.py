"""Rules for watches of the platform's store, and what receives the objects."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.interface import RecordSet


def do_nothing() -> None:
    """Ignore the loss of a watch."""


class RecordSink(Protocol):
    """Receives the objects of one kind."""

    def replace(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply the full list of objects."""

    def change(self, view: RecordSet, now: Nanoseconds) -> None:
        """Apply changed and removed objects."""


@frozen
class WatchRules:
    """Timeouts and intervals of watches.

    Attributes:
        watch_timeout: Returns how long a watch may wait at a given time.
        is_prober: Returns whether this daemon often probes a failing store.
        batch_interval: Returns the time whose changes are fetched together.
        is_behind: Returns whether another daemon knows of a newer change, for
            the index of the kind in ``changes`` of a heartbeat and the revision
            up to which all changes are known here.
        max_list_age: Returns how long a list counts as current after the store
            has responded.
        on_loss: Called when the store asks for a new list or the connection of
            a watch is lost, as other watches may then be silent.
    """

    watch_timeout: Callable[[Nanoseconds], Nanoseconds]
    is_prober: Callable[[], bool]
    batch_interval: Callable[[], Nanoseconds]
    is_behind: Callable[[int, StoreRevision], bool]
    max_list_age: Callable[[], Nanoseconds]
    on_loss: Callable[[], None] = do_nothing
