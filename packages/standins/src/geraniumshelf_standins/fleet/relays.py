"""Faulty links between the daemons of a fleet."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from geraniumshelf_standins.fleet.layout import FleetInstance
from geraniumshelf_standins.link.relay import FaultyLink, LinkFaults


@define
class PeerRelays:
    """A faulty link in front of the peer address of each daemon.

    Daemons dial each other from their own host address, so a link knows both
    ends of each connection.
    """

    _links: dict[str, FaultyLink] = field(factory=dict)
    _hosts: dict[str, str] = field(factory=dict)

    async def start(self, places: Mapping[str, FleetInstance]) -> None:
        """Listen at the relay address of each place."""
        for name, place in places.items():
            link = FaultyLink(place.relay_address, place.peer_address)
            await link.start()
            self._links[name] = link
            self._hosts[name] = place.host

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Hold what the sources send to the targets; the way back works."""
        far = tuple(targets)
        for source in sources:
            for target in far:
                self._cut_one(source, target)

    def part(self, names: Iterable[str]) -> None:
        """Cut some instances off from all others, in both directions."""
        inside = set(names)
        outside = set(self._links) - inside
        self.cut(inside, outside)
        self.cut(outside, inside)

    def heal(self) -> None:
        """Let all links work again; held bytes arrive late."""
        for link in self._links.values():
            link.faults = LinkFaults()

    def silence(self, names: Iterable[str]) -> None:
        """Silence the open connections to some instances for good."""
        for name in names:
            self._links[name].silence()

    async def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()

    def _cut_one(self, source: str, target: str) -> None:
        # Either daemon may have dialed the connection between the two.
        dialed = self._links[target].faults
        dialed.held_forward = dialed.held_forward | {self._hosts[source]}
        accepted = self._links[source].faults
        accepted.held_back = accepted.held_back | {self._hosts[target]}
