"""Which daemons gather the shares of accounts, as this daemon sees it."""

from collections.abc import Callable, Mapping

from geraniumshelf_core.presence.queries import is_large_fleet
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.owners import (
    AccountOwners,
    find_owner,
    set_entries,
)


class OwnerView:
    """Owners of accounts in each region.

    Args:
        presence: What is known of the other daemons.
        own_heartbeat: Returns the newest beat of this daemon.
        regions: Region by zone.
    """

    def __init__(
        self,
        presence: PresenceState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        regions: Mapping[str, str],
    ) -> None:
        self._presence = presence
        self._own_heartbeat = own_heartbeat
        self._regions = regions
        self._owners = {
            region: AccountOwners() for region in set(regions.values())
        }

    @property
    def near(self) -> AccountOwners:
        """Return the owners of the own region."""
        return self._owners[self._regions[self._own_heartbeat().zone]]

    @property
    def far(self) -> tuple[AccountOwners, ...]:
        """Return the owners of the other regions."""
        near = self.near
        return tuple(one for one in self._owners.values() if one is not near)

    @property
    def is_pooling(self) -> bool:
        """Return whether shares are gathered at owners."""
        return bool(self.near.entries)

    def update(self) -> None:
        """Take over which daemons take callers now."""
        beats = (
            self._own_heartbeat(),
            *(one.heartbeat for one in self._presence.peers.values()),
        )
        is_used = is_large_fleet(self._presence)
        for region, owners in self._owners.items():
            entries = (
                beat.name
                for beat in beats
                if is_used
                and beat.is_ready
                and self._regions.get(beat.zone) == region
            )
            set_entries(owners, entries)

    def find(self, account: str) -> str | None:
        """Return the owner of an account in the own region."""
        return find_owner(self.near, account)

    def has_other_owner(self, account: str) -> bool:
        """Return whether another daemon of the region gathers an account."""
        return self.find(account) in self._presence.peers

    def is_near(self, name: str) -> bool:
        """Return whether a daemon that is heard is of the own region."""
        neighbour = self._presence.peers.get(name)
        if neighbour is None:
            return False
        own_zone = self._own_heartbeat().zone
        zone = neighbour.heartbeat.zone
        return self._regions.get(zone) == self._regions[own_zone]
