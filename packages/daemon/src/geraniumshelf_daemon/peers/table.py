"""The links in use, at most one per peer."""

import asyncio

from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.link import PeerLink


class LinkTable:
    """Holds the links in use and decides between two links to one peer."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._links: dict[str, PeerLink] = {}
        self._changed = asyncio.Event()

    def instances(self) -> tuple[str, ...]:
        """Return the names of the peers linked for good, not on demand."""
        return tuple(
            name for name, link in self._links.items() if not link.is_on_demand
        )

    def links(self) -> tuple[PeerLink, ...]:
        """Return all links in use."""
        return tuple(self._links.values())

    def find(self, instance: str) -> PeerLink | None:
        """Return the link to an instance."""
        return self._links.get(instance)

    def has_address(self, address: str, *, is_on_demand: bool) -> bool:
        """Tell whether the peer at an address is linked well enough.

        A link on demand does not do for a peer that is to be linked for good.
        """
        return any(
            link.hello.peer_address == address
            for link in self._links.values()
            if is_on_demand or not link.is_on_demand
        )

    async def wait_changed(self) -> None:
        """Wait until a link is added or removed."""
        await self._changed.wait()

    def adopt(self, link: PeerLink) -> bool:
        """Put a link in use unless another one to the peer is preferred.

        Links to a replaced peer, of the same name or address, are dropped.
        """
        hello = link.hello
        rival = self._links.get(hello.instance)
        if rival is not None and not _is_preferred(link, rival, self._own):
            return False
        for other in self.links():
            is_replaced = other.hello.peer_address == hello.peer_address
            if is_replaced or other is rival:
                self.discard(other)
                other.abort()
        self._links[hello.instance] = link
        log_event(Event.PEER_CONNECTED, peer=hello.instance)
        self._wake()
        return True

    def discard(self, link: PeerLink) -> None:
        """Remove a link if it is in use."""
        if self._links.get(link.hello.instance) is link:
            self._links.pop(link.hello.instance)
            log_event(Event.PEER_LOST, peer=link.hello.instance)
            self._wake()

    def _wake(self) -> None:
        woken = self._changed
        self._changed = asyncio.Event()
        woken.set()


def _is_preferred(link: PeerLink, rival: PeerLink, own: str) -> bool:
    """Tell whether a new link takes the place of one to the same instance.

    A new incarnation wins, then a link for good over one on demand. Of two
    links dialed by the same side the newer one wins, because a side dials only
    when it has none. Otherwise both sides keep the one that the instance with
    the smaller name dialed.
    """
    if link.hello != rival.hello:
        return True
    if link.is_on_demand != rival.is_on_demand:
        return rival.is_on_demand
    if link.is_dialer == rival.is_dialer:
        return True
    return link.is_dialer == (own < link.hello.instance)
