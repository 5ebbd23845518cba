"""Takes up and lays down the work for callers."""

from collections.abc import Callable

from geraniumshelf_core.presence.entry_role import EntryRole, decide_role
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.holding import Holding, withdraw_share
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.state import RelayState
from geraniumshelf_daemon.edge.store_follower import StoreFollower
from geraniumshelf_daemon.observability.events import Event, log_event


class Standby:
    """Follows the store while callers need this daemon.

    Args:
        duty: Its duty.
        following: What it does for callers.
        presence: What is known of the other daemons.
        holding: Whole shares of this daemon.
        own_heartbeat: Returns the newest beat.
    """

    def __init__(
        self,
        duty: EntryRole,
        following: StoreFollower,
        presence: PresenceState,
        holding: Holding,
        own_heartbeat: Callable[[], PresenceHeartbeat],
    ) -> None:
        self._duty = duty
        self._store_follower = following
        self._presence = presence
        self._holding = holding
        self._own_heartbeat = own_heartbeat

    @property
    def has_decided(self) -> bool:
        """Return whether it is known if callers need this daemon."""
        return self._duty.is_entry is not None

    @property
    def is_standby(self) -> bool:
        """Return whether other daemons take the callers."""
        return self._duty.is_entry is False

    async def adjust(self, state: RelayState, now: Nanoseconds) -> None:
        """Begin or end to follow the store as callers need it."""
        before = self._duty.is_entry
        decide_role(
            self._duty,
            self._presence,
            self._own_heartbeat(),
            state.last_request_at,
            now,
        )
        if self._duty.is_entry == before:
            return
        if self._duty.is_entry:
            log_event(Event.DUTY_CHANGED, 'entry')
            self._store_follower.start()
        else:
            log_event(Event.DUTY_CHANGED, 'standby')
            # An earlier run of this daemon ended before this one started.
            since = self._duty.started_at if before is None else now
            withdraw_share(self._holding, since)
            await self._store_follower.stop()
