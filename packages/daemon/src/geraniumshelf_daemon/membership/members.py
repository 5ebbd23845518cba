"""The members as this daemon sees them."""

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

# The windows of members that are known through the table are worked out this
# often; with the margin of their clocks they lag by less than one window.
_WINDOW_STEP: Final[Nanoseconds] = WINDOW_NS // 2


class Members:
    """Answers who is live and writes the own heartbeat."""

    def __init__(self, own: Hello, revision: Callable[[], int]) -> None:
        """Start with this daemon as the only member.

        Args:
            own: Introduction of this daemon.
            revision: Returns the own configuration revision, 0 for none.
        """
        self.state = MembershipState(own, started_at=current_time())
        self._revision = revision
        self._listeners: list[Callable[[str, Heartbeat], None]] = []
        self._relays: list[Callable[[], None]] = []
        self._spread_key: tuple[object, ...] = ()
        self._spread: tuple[Member, ...] = ()
        self._live_key: tuple[object, ...] = ()
        self._live: tuple[Member, ...] = ()

    @property
    def status(self) -> OwnStatus:
        """Return slot, window and leaving of this daemon, to be set."""
        return self.state.status

    def build_heartbeat(self) -> Heartbeat:
        """Return the next heartbeat to send."""
        return commands.next_heartbeat(
            self.state, self._revision(), current_time()
        )

    def subscribe(self, listener: Callable[[str, Heartbeat], None]) -> None:
        """Call a listener with each heartbeat and the sender's name."""
        self._listeners.append(listener)

    def subscribe_contact(self, relay: Callable[[], None]) -> None:
        """Call a relay when peers should get a heartbeat at once."""
        self._relays.append(relay)

    def receive_heartbeat(
        self, peer: str, heartbeat: Heartbeat, now: Nanoseconds
    ) -> None:
        """Take in a heartbeat of a linked peer."""
        if commands.record_heartbeat(self.state, peer, heartbeat, now):
            for listener in self._listeners:
                listener(peer, heartbeat)
            self._relay_contact(now)

    def record_contact(self, at: Nanoseconds) -> None:
        """Take in that the platform was reached at a time."""
        roster_updates.record_platform_contact(self.state, at)
        commands.record_contact(self.state, at)
        self._relay_contact(current_time())

    def live_members(self, now: Nanoseconds) -> tuple[Member, ...]:
        """Return this daemon and all live members, by name.

        The same tuple is returned while nothing has changed.
        """
        revision = self._revision()
        roster = self.state.roster
        spread_key = (
            roster.version,
            self.state.listed_at,
            frozenset(self.state.known_peers),
            now // _WINDOW_STEP,
        )
        if spread_key != self._spread_key:
            self._spread_key = spread_key
            self._spread = queries.roster_only_members(self.state, now)
        heard = queries.linked_members(self.state, revision, now)
        if (heard, self._spread) != self._live_key:
            self._live_key = (heard, self._spread)
            self._live = tuple(sorted((*heard, *self._spread), key=_name))
        return self._live

    def refresh_own(self, now: Nanoseconds) -> None:
        """Publish the own entry if others do not have it as it is."""
        roster_updates.refresh_own_entry(self.state, self._revision(), now)

    def slot_holders(self, now: Nanoseconds) -> dict[str, str]:
        """Return the instance that holds each live slot."""
        return queries.slot_holders(self.live_members(now))

    def confirmed_revisions(self, now: Nanoseconds) -> dict[str, int]:
        """Return the revision in force of each live member."""
        return {
            member.hello.instance: member.revision
            for member in self.live_members(now)
        }

    def is_cut_off(self, now: Nanoseconds) -> bool:
        """Tell whether no withdrawal can reach the zone."""
        return contact.is_cut_off(self.state, now)

    def is_watcher(self, now: Nanoseconds) -> bool:
        """Tell whether this daemon watches the platform for its zone."""
        watchers = queries.zone_watchers(self.state, now)
        return self.state.own.instance in watchers

    def _relay_contact(self, now: Nanoseconds) -> None:
        if contact.is_contact_announcement_due(self.state, now):
            for relay in self._relays:
                relay()


def _name(member: Member) -> str:
    return member.hello.instance
