"""Links that are opened on demand, for peers that are not targets."""

import asyncio
from typing import Any, Final

from attrs import define

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.peers.dialer import OPEN_TIMEOUT_S, Dialer
from geraniumshelf_daemon.peers.link import PeerLink
from geraniumshelf_daemon.peers.table import LinkTable

# Bounds the cost of idle links: the heartbeats of one take about 0.1 KB/s in
# both directions.
MAX_LINKS: Final = 32
IDLE_TIMEOUT_NS: Final[Nanoseconds] = 60 * SECOND_NS

_MAX_QUEUED_MESSAGES: Final = 256


@define
class _OnDemandPeer:
    """A peer that is dialed on demand."""

    address: str
    last_requested_at: Nanoseconds


class OnDemandLinks:
    """Dials peers when a message needs them and closes idle links.

    At most ``MAX_LINKS`` peers are kept; beyond that, the least recently used
    one is dropped. Peers unused for ``IDLE_TIMEOUT_NS`` are dropped too.
    """

    def __init__(self, table: LinkTable, dialer: Dialer) -> None:
        self._table = table
        self._dialer = dialer
        self._peers: dict[str, _OnDemandPeer] = {}
        self._send_tasks: set[asyncio.Task[None]] = set()

    async def open_link(
        self, instance: str, address: str | None, timeout: Nanoseconds
    ) -> PeerLink:
        """Return the link to an instance, which is dialed if there is none.

        Raises:
            PeerError: ``PEER_UNREACHABLE`` if the address is unknown or no
                link was opened in time.
        """
        if address is None:
            raise PeerError(
                ResultCode.PEER_UNREACHABLE,
                f'address of peer {instance} is unknown',
            )
        self._keep_peer(instance, address)
        wait_s = min(ns_to_seconds(timeout), OPEN_TIMEOUT_S)
        try:
            async with asyncio.timeout(wait_s):
                return await self._wait_for_link(instance)
        except TimeoutError:
            raise PeerError(
                ResultCode.PEER_UNREACHABLE,
                f'no link to peer {instance} at {address} within '
                f'{wait_s:.3f} s',
            ) from None

    def send_later(
        self, instance: str, address: str | None, message: Any
    ) -> None:
        """Send a message once the instance is linked; it may be lost."""
        if address is None or len(self._send_tasks) >= _MAX_QUEUED_MESSAGES:
            return
        task = asyncio.create_task(self._send(instance, address, message))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    def close_idle(self, now: Nanoseconds) -> None:
        """Drop peers with no message sent or received for the idle timeout."""
        for instance, peer in tuple(self._peers.items()):
            if now - self._last_used_at(instance, peer) > IDLE_TIMEOUT_NS:
                self._remove_peer(instance)

    async def stop(self) -> None:
        """Close all links on demand and drop messages that wait for one."""
        for task in tuple(self._send_tasks):
            task.cancel()
        self._peers.clear()
        await self._dialer.stop()

    def _keep_peer(self, instance: str, address: str) -> None:
        now = current_time()
        peer = self._peers.get(instance)
        if peer is not None and peer.address == address:
            peer.last_requested_at = now
            return
        if peer is None and len(self._peers) >= MAX_LINKS:
            self._remove_peer(min(self._peers, key=self._last_use_key))
        self._peers[instance] = _OnDemandPeer(address, now)
        self._update_targets()

    async def _wait_for_link(self, instance: str) -> PeerLink:
        while True:
            link = self._table.find(instance)
            if link is not None:
                return link
            await self._table.wait_for_change()

    async def _send(self, instance: str, address: str, message: Any) -> None:
        timeout = round(OPEN_TIMEOUT_S * SECOND_NS)
        try:
            link = await self.open_link(instance, address, timeout)
        except PeerError:
            return
        link.send_and_touch(message)

    def _remove_peer(self, instance: str) -> None:
        self._peers.pop(instance)
        self._update_targets()

    def _update_targets(self) -> None:
        self._dialer.set_targets(peer.address for peer in self._peers.values())

    def _last_use_key(self, instance: str) -> Nanoseconds:
        return self._last_used_at(instance, self._peers[instance])

    def _last_used_at(self, instance: str, peer: _OnDemandPeer) -> Nanoseconds:
        link = self._table.find(instance)
        used_at = peer.last_requested_at if link is None else link.last_used_at
        return max(used_at, peer.last_requested_at)
