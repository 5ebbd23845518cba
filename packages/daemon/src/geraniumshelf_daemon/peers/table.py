"""Table of the links in use, at most one per peer."""

import asyncio

from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.link import PeerLink


class LinkTable:
    """Holds the links in use and chooses between two links to one peer."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._links: dict[str, PeerLink] = {}
        self._changed = asyncio.Event()

    def instances(self) -> tuple[str, ...]:
        """Return the names of linked peers, without links on demand."""
        return tuple(
            name for name, link in self._links.items() if not link.is_on_demand
        )

    def links(self) -> tuple[PeerLink, ...]:
        """Return all links in use."""
        return tuple(self._links.values())

    def find(self, instance: str) -> PeerLink | None:
        """Return the link to an instance, ``None`` if there is none."""
        return self._links.get(instance)

    def has_address(self, address: str, *, is_on_demand: bool) -> bool:
        """Return whether a suitable link to the peer at an address exists.

        A link on demand does not satisfy a dialer of permanent links, because
        it is closed when idle and takes no part in membership.
        """
        return any(
            link.hello.peer_address == address
            for link in self._links.values()
            if is_on_demand or not link.is_on_demand
        )

    async def wait_for_change(self) -> None:
        """Wait until a link is added or removed."""
        await self._changed.wait()

    def add(self, link: PeerLink) -> bool:
        """Add a link unless the existing one to its peer is preferred.

        Links to a replaced peer with the same name or address are closed.

        Returns:
            Whether the link is in use now.
        """
        hello = link.hello
        existing = self._links.get(hello.instance)
        if existing is not None and not _is_preferred(
            link, existing, self._own
        ):
            return False
        for other in self.links():
            is_replaced = other.hello.peer_address == hello.peer_address
            if is_replaced or other is existing:
                self.remove(other)
                other.abort()
        self._links[hello.instance] = link
        log_event(Event.PEER_CONNECTED, peer=hello.instance)
        self._notify_changed()
        return True

    def remove(self, link: PeerLink) -> None:
        """Remove a link if it is in use."""
        if self._links.get(link.hello.instance) is link:
            self._links.pop(link.hello.instance)
            log_event(Event.PEER_LOST, peer=link.hello.instance)
            self._notify_changed()

    def _notify_changed(self) -> None:
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()


def _is_preferred(link: PeerLink, existing: PeerLink, own: str) -> bool:
    """Return whether a new link replaces the existing one to its instance.

    A new incarnation wins, then a permanent link over one on demand. Of two
    links dialed by the same side the newer one wins, because a side dials only
    when it has no link. Otherwise both sides keep the link that the instance
    with the smaller name dialed, so that they agree on the same one.
    """
    if link.hello != existing.hello:
        return True
    if link.is_on_demand != existing.is_on_demand:
        return existing.is_on_demand
    if link.is_dialer == existing.is_dialer:
        return True
    return link.is_dialer == (own < link.hello.instance)
