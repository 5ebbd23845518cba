"""Tracks the last change of one kind in the platform's store."""

from attrs import define, field

from geraniumshelf_core.history.eras import StoreRevision
from geraniumshelf_daemon.edge.interface import RecordSet


@define
class LastChange:
    """Revision of the last change that is known of one kind.

    Heartbeats report it, so that daemons whose watch is silent learn that they
    have missed a change.

    Attributes:
        revision: The revision; the smallest one before the first list.
    """

    revision: StoreRevision = field(factory=StoreRevision)
    _names: set[str] = field(factory=set, init=False)

    def record_list(self, view: RecordSet) -> None:
        """Record a full list of objects.

        The revisions of the objects do not tell when others were removed. A
        removal since the last list or watch counts as made just before the
        list, as a daemon that has seen less may lack it.
        """
        is_removed = bool(self._names - view.records.keys())
        revision = view.revision if is_removed else view.last_change_revision
        self.revision = max(self.revision, revision)
        self._names = set(view.records)

    def record_changes(self, changes: RecordSet) -> None:
        """Record changed and removed objects."""
        self.revision = max(self.revision, changes.last_change_revision)
        for name, record in changes.records.items():
            if record is None:
                self._names.discard(name)
            else:
                self._names.add(name)
