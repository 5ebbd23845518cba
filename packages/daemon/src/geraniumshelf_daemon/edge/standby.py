"""Switches the daemon between entry and standby."""

from collections.abc import Callable

from geraniumshelf_core.presence.entry_role import EntryRole, decide_role
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.whole_shares import WholeShares, withdraw_share
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.edge.store_follower import StoreFollower
from geraniumshelf_daemon.observability.events import Event, log_event


class Standby:
    """Follows the store while this daemon is an entry.

    Args:
        entry_role: Whether this daemon is an entry.
        store_follower: Follows the store while it is.
        presence: State of the other daemons.
        whole_shares: Whole shares of this daemon.
        own_heartbeat: Returns the newest heartbeat of this daemon.
    """

    def __init__(
        self,
        entry_role: EntryRole,
        store_follower: StoreFollower,
        presence: PresenceState,
        whole_shares: WholeShares,
        own_heartbeat: Callable[[], PresenceHeartbeat],
    ) -> None:
        self._entry_role = entry_role
        self._store_follower = store_follower
        self._presence = presence
        self._whole_shares = whole_shares
        self._own_heartbeat = own_heartbeat

    @property
    def has_decided(self) -> bool:
        """Return whether the role of this daemon has been decided."""
        return self._entry_role.is_entry is not None

    @property
    def is_standby(self) -> bool:
        """Return whether other daemons serve the callers."""
        return self._entry_role.is_entry is False

    async def update_role(self, state: EdgeState, now: Nanoseconds) -> None:
        """Decide the role, and start or stop following the store."""
        previous_role = self._entry_role.is_entry
        decide_role(
            self._entry_role,
            self._presence,
            self._own_heartbeat(),
            state.last_request_at,
            now,
        )
        if self._entry_role.is_entry == previous_role:
            return
        if self._entry_role.is_entry:
            log_event(Event.DUTY_CHANGED, 'entry')
            self._store_follower.start()
        else:
            log_event(Event.DUTY_CHANGED, 'standby')
            # An earlier run last used its shares before this run started.
            since = (
                self._entry_role.started_at if previous_role is None else now
            )
            withdraw_share(self._whole_shares, since)
            await self._store_follower.stop()
