"""Daemons that pool the shares of accounts, as this daemon knows them."""

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
        presence: State of the other daemons.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        regions: Region by availability zone.
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
    def own_region_owners(self) -> AccountOwners:
        """Return the owners of the own region."""
        return self._owners[self._regions[self._own_heartbeat().zone]]

    @property
    def other_region_owners(self) -> tuple[AccountOwners, ...]:
        """Return the owners of the other regions."""
        own_region_owners = self.own_region_owners
        return tuple(
            owners
            for owners in self._owners.values()
            if owners is not own_region_owners
        )

    @property
    def is_pooling(self) -> bool:
        """Return whether owners pool the shares of accounts."""
        return bool(self.own_region_owners.entries)

    def update(self) -> None:
        """Update the owners from the daemons that accept callers now."""
        heartbeats = (
            self._own_heartbeat(),
            *(peer.heartbeat for peer in self._presence.peers.values()),
        )
        is_large = is_large_fleet(self._presence)
        for region, owners in self._owners.items():
            entries = (
                heartbeat.name
                for heartbeat in heartbeats
                if is_large
                and heartbeat.is_ready
                and self._regions.get(heartbeat.zone) == region
            )
            set_entries(owners, entries)

    def owner_of(self, account: str) -> str | None:
        """Return the owner of an account in the own region."""
        return find_owner(self.own_region_owners, account)

    def has_other_owner(self, account: str) -> bool:
        """Return whether another daemon of the own region owns an account."""
        return self.owner_of(account) in self._presence.peers

    def is_in_own_region(self, name: str) -> bool:
        """Return whether a daemon is a known peer in the own region."""
        peer = self._presence.peers.get(name)
        if peer is None:
            return False
        own_zone = self._own_heartbeat().zone
        zone = peer.heartbeat.zone
        return self._regions.get(zone) == self._regions[own_zone]
