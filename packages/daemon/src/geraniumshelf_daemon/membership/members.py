"""The fleet members as known to this daemon."""

from collections.abc import Callable
from typing import Final

from geraniumshelf_core.idempotency.request_id import WINDOW_NS
from geraniumshelf_core.membership import (
    commands,
    contact,
    queries,
    roster_updates,
)
from geraniumshelf_core.membership.state import (
    Member,
    MembershipState,
    OwnStatus,
)
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.clock import current_time

# How often the request id windows of members known only through the table of
# members are recomputed. With the margin for their clocks, they lag by less
# than one window.
_WINDOW_REFRESH_NS: Final[Nanoseconds] = WINDOW_NS // 2


class Members:
    """Provides the live members and builds the own heartbeats."""

    def __init__(self, own: Hello, revision: Callable[[], int]) -> None:
        """Start with this daemon as the only member.

        Args:
            own: Introduction of this daemon.
            revision: Returns the configuration revision in force here, 0 for
                none.
        """
        self.state = MembershipState(own, started_at=current_time())
        self._revision = revision
        self._listeners: list[Callable[[str, Heartbeat], None]] = []
        self._announcers: list[Callable[[], None]] = []
        self._roster_only_key: tuple[object, ...] = ()
        self._roster_only: tuple[Member, ...] = ()
        self._live_key: tuple[object, ...] = ()
        self._live: tuple[Member, ...] = ()

    @property
    def status(self) -> OwnStatus:
        """Return the mutable status that this daemon reports of itself."""
        return self.state.status

    def build_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat to send."""
        return commands.next_heartbeat(
            self.state, self._revision(), current_time()
        )

    def subscribe(self, listener: Callable[[str, Heartbeat], None]) -> None:
        """Call a listener with the sender's name and each new heartbeat."""
        self._listeners.append(listener)

    def subscribe_announcement(self, announce: Callable[[], None]) -> None:
        """Call a function when peers should get a heartbeat at once."""
        self._announcers.append(announce)

    def receive_heartbeat(
        self, peer: str, heartbeat: Heartbeat, now: Nanoseconds
    ) -> None:
        """Record a heartbeat of a linked peer and call the listeners."""
        if commands.record_heartbeat(self.state, peer, heartbeat, now):
            for listener in self._listeners:
                listener(peer, heartbeat)
            self._announce_contact(now)

    def record_contact(self, at: Nanoseconds) -> None:
        """Record the time of a contact with the platform, nanoseconds."""
        roster_updates.record_platform_contact(self.state, at)
        commands.record_contact(self.state, at)
        self._announce_contact(current_time())

    def live_members(self, now: Nanoseconds) -> tuple[Member, ...]:
        """Return this daemon and all live members, sorted by name.

        The same tuple object is returned while no member has changed.
        """
        revision = self._revision()
        roster = self.state.roster
        roster_only_key = (
            roster.version,
            self.state.listed_at,
            frozenset(self.state.known_peers),
            now // _WINDOW_REFRESH_NS,
        )
        if roster_only_key != self._roster_only_key:
            self._roster_only_key = roster_only_key
            self._roster_only = queries.roster_only_members(self.state, now)
        linked = queries.linked_members(self.state, revision, now)
        if (linked, self._roster_only) != self._live_key:
            self._live_key = (linked, self._roster_only)
            self._live = tuple(
                sorted((*linked, *self._roster_only), key=_instance_name)
            )
        return self._live

    def publish_own_entry(self, now: Nanoseconds) -> None:
        """Publish the own entry if the published one is outdated."""
        roster_updates.refresh_own_entry(self.state, self._revision(), now)

    def slot_holders(self, now: Nanoseconds) -> dict[str, str]:
        """Return the instance names of live slot holders, by slot."""
        return queries.slot_holders(self.live_members(now))

    def revisions_by_instance(self, now: Nanoseconds) -> dict[str, int]:
        """Return the revision in force of live members, by instance name."""
        return {
            member.hello.instance: member.revision
            for member in self.live_members(now)
        }

    def is_cut_off(self, now: Nanoseconds) -> bool:
        """Return whether withdrawals of keys may not reach the own zone."""
        return contact.is_cut_off(self.state, now)

    def is_watcher(self, now: Nanoseconds) -> bool:
        """Return whether this daemon watches the platform for its zone."""
        watchers = queries.zone_watchers(self.state, now)
        return self.state.own.instance in watchers

    def _announce_contact(self, now: Nanoseconds) -> None:
        if contact.is_contact_announcement_due(self.state, now):
            for announce in self._announcers:
                announce()


def _instance_name(member: Member) -> str:
    return member.hello.instance
