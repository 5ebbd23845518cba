"""Exchanges the configuration with peers."""

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
    Offer,
    Outcome,
)

_PULL_TIMEOUT: Final = 2 * SECOND_NS
# Larger answers would hold up heartbeats on the same link.
_ANSWER_BYTES: Final = 1_000_000
_PUSH_BYTES: Final = 64_000


class PeerExchange:
    """Pulls higher revisions from peers and pushes new ones to them."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        members: Members,
        peers: PeerNetwork,
    ) -> None:
        self._holder = holder
        self._members = members
        self._peers = peers
        self._ahead: dict[str, int] = {}
        self._wanted = asyncio.Event()
        peers.register(ConfigurationRequest, self._on_request)
        peers.register(ConfigurationParts, self._on_parts)
        members.subscribe(self._on_heartbeat)
        holder.subscribe(self._push)

    async def run(self) -> None:
        """Pull from peers that are ahead, for ever."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            while self._ahead:
                peer = max(self._ahead, key=self._ahead.__getitem__)
                # The next heartbeat brings a peer back after a failure.
                if self._ahead.pop(peer) > self._holder.revision:
                    await self._pull(peer)

    def _on_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        if heartbeat.revision > self._holder.revision:
            self._want(peer, heartbeat.revision)

    async def _on_request(
        self, peer: str, message: ConfigurationRequest
    ) -> ConfigurationParts:
        if not self._holder.head:
            raise PeerError(ResultCode.NOT_READY, 'no configuration')
        chosen: list[bytes] = []
        size = 0
        for digest, content in self._holder.parts.items():
            if digest in message.known_digests:
                continue
            size += len(content)
            if chosen and size > _ANSWER_BYTES:
                break
            chosen.append(content)
        return ConfigurationParts(self._holder.head, tuple(chosen))

    async def _on_parts(self, peer: str, message: ConfigurationParts) -> Any:
        offer = self._offer(message)
        if offer.outcome is Outcome.INCOMPLETE:
            self._want(peer, self._holder.revision + 1)

    def _want(self, peer: str, revision: int) -> None:
        self._ahead[peer] = revision
        self._wanted.set()

    async def _pull(self, peer: str) -> None:
        last = Offer(Outcome.INCOMPLETE)
        while last.outcome is Outcome.INCOMPLETE:
            request = ConfigurationRequest(self._holder.known_digests)
            try:
                answer = await self._peers.request(peer, request, _PULL_TIMEOUT)
            except PeerError:
                return
            if not isinstance(answer, ConfigurationParts):
                return
            offer = self._offer(answer)
            if offer.missing == last.missing:
                return
            last = offer

    def _offer(self, message: ConfigurationParts) -> Offer:
        return self._holder.offer(message.head, message.parts)

    def _push(self, _configuration: object) -> None:
        fresh = self._holder.fresh_parts
        if sum(len(content) for content in fresh) > _PUSH_BYTES:
            fresh = ()
        message = ConfigurationParts(self._holder.head, fresh)
        for peer in outdated_peers(
            self._members.state, self._holder.revision, current_time()
        ):
            self._peers.notify(peer, message)
