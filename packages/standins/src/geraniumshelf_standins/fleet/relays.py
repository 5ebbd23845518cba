"""Relays between the daemons of a fleet, which inject link faults."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from geraniumshelf_standins.fleet.layout import FleetInstance
from geraniumshelf_standins.link.relay import FaultyLink, LinkFaults


@define
class PeerRelays:
    """A relay in front of the peer address of each daemon.

    Daemons connect from the IP address of their own instance, so a relay
    identifies both ends of each connection.
    """

    _links: dict[str, FaultyLink] = field(factory=dict)
    _hosts: dict[str, str] = field(factory=dict)

    async def start(self, instances: Mapping[str, FleetInstance]) -> None:
        """Listen at the relay address of each instance."""
        for name, instance in instances.items():
            link = FaultyLink(instance.relay_address, instance.peer_address)
            await link.start()
            self._links[name] = link
            self._hosts[name] = instance.host

    def block(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Hold the bytes from sources to targets, but not those in reverse."""
        target_names = tuple(targets)
        for source in sources:
            for target in target_names:
                self._block_pair(source, target)

    def isolate(self, names: Iterable[str]) -> None:
        """Partition instances from all others, in both directions."""
        inside = set(names)
        outside = set(self._links) - inside
        self.block(inside, outside)
        self.block(outside, inside)

    def heal(self) -> None:
        """Remove all faults; bytes that were held are delivered."""
        for link in self._links.values():
            link.faults = LinkFaults()

    def silence(self, names: Iterable[str]) -> None:
        """Drop all further bytes of the open connections to instances."""
        for name in names:
            self._links[name].silence()

    async def stop(self) -> None:
        """Stop all relays."""
        for link in self._links.values():
            await link.stop()

    def _block_pair(self, source: str, target: str) -> None:
        # Either daemon may have opened the connection between the two.
        dialed = self._links[target].faults
        dialed.held_forward = dialed.held_forward | {self._hosts[source]}
        accepted = self._links[source].faults
        accepted.held_backward = accepted.held_backward | {self._hosts[target]}
