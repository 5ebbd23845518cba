"""Exchange of the configuration with peers."""

import asyncio
from typing import Any, Final

from geraniumshelf_core.errors import PeerError, ResultCode
from geraniumshelf_core.membership.queries import outdated_peers
from geraniumshelf_core.messages.configuration import (
    ConfigurationParts,
    ConfigurationRequest,
)
from geraniumshelf_core.messages.membership import Heartbeat
from geraniumshelf_core.units import SECOND_NS
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.replication.holder import (
    ConfigurationHolder,
    OfferOutcome,
    OfferResult,
)

_PULL_TIMEOUT_NS: Final = 2 * SECOND_NS
# Larger replies would delay heartbeats on the same link.
_MAX_REPLY_BYTES: Final = 1_000_000
_MAX_PUSH_BYTES: Final = 64_000


class ConfigurationExchange:
    """Pulls newer revisions from peers and pushes new revisions to them."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        members: Members,
        peers: PeerNetwork,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._revisions_by_peer: dict[str, int] = {}
        self._pull_needed = asyncio.Event()
        peers.register(ConfigurationRequest, self._on_request)
        peers.register(ConfigurationParts, self._on_parts)
        members.subscribe(self._on_heartbeat)
        holder.subscribe(self._push)

    async def run(self) -> None:
        """Pull from peers with newer revisions until cancelled."""
        while True:
            await self._pull_needed.wait()
            self._pull_needed.clear()
            while self._revisions_by_peer:
                peer = max(
                    self._revisions_by_peer,
                    key=self._revisions_by_peer.__getitem__,
                )
                # After a failed pull, the next heartbeat of the peer adds it
                # again.
                if self._revisions_by_peer.pop(peer) > self._holder.revision:
                    await self._pull(peer)

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.revision > self._holder.revision:
            self._request_pull(peer, heartbeat.revision)

    async def _on_request(
        self, peer: str, message: ConfigurationRequest
    ) -> ConfigurationParts:
        if not self._holder.head:
            raise PeerError(
                ResultCode.NOT_READY, 'no configuration is in force yet'
            )
        chosen: list[bytes] = []
        size = 0
        for digest, content in self._holder.parts.items():
            if digest in message.known_digests:
                continue
            size += len(content)
            if chosen and size > _MAX_REPLY_BYTES:
                break
            chosen.append(content)
        return ConfigurationParts(self._holder.head, tuple(chosen))

    async def _on_parts(self, peer: str, message: ConfigurationParts) -> Any:
        offer = self._offer(message)
        if offer.outcome is OfferOutcome.INCOMPLETE:
            self._request_pull(peer, self._holder.revision + 1)

    def _request_pull(self, peer: str, revision: int) -> None:
        self._revisions_by_peer[peer] = revision
        self._pull_needed.set()

    async def _pull(self, peer: str) -> None:
        last = OfferResult(OfferOutcome.INCOMPLETE)
        while last.outcome is OfferOutcome.INCOMPLETE:
            request = ConfigurationRequest(self._holder.known_digests)
            try:
                reply = await self._peers.request(
                    peer, request, _PULL_TIMEOUT_NS
                )
            except PeerError:
                return
            if not isinstance(reply, ConfigurationParts):
                return
            offer = self._offer(reply)
            if offer.missing == last.missing:
                return
            last = offer

    def _offer(self, message: ConfigurationParts) -> OfferResult:
        return self._holder.offer(message.head, message.parts)

    def _push(self, _configuration: object) -> None:
        pushed_parts = self._holder.new_parts
        if sum(len(content) for content in pushed_parts) > _MAX_PUSH_BYTES:
            pushed_parts = ()
        message = ConfigurationParts(self._holder.head, pushed_parts)
        for peer in outdated_peers(
            self._members.state, self._holder.revision, current_time()
        ):
            self._peers.notify(peer, message)
