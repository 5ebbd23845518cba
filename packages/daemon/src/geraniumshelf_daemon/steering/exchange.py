"""Exchanges plans with the platform and with peers."""

import asyncio
from typing import Final

from attrs import frozen

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.messages.rows import check_rows
from geraniumshelf_core.messages.steering import PlanAnnouncement, PlanContents
from geraniumshelf_core.plan.model import (
    PLAN_PREFIX,
    decode_plan,
    encode_plan,
)
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.interface import PeerNetwork
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.steering.interface import Clock, WatcherSource
from geraniumshelf_daemon.steering.plans import PlanService

_ANNOUNCE_INTERVAL_S: Final = 5
_RETRY_INTERVAL_S: Final = 1
_WATCH_TIMEOUT_S: Final = 10


@frozen
class PlanExchange:
    """Keeps the plans of this daemon at the highest revision available.

    Attributes:
        plans: Holds the plans in force.
        peers: Links to peers.
        platform: The platform; only watchers call it.
        watchers: Decides whether this daemon is a watcher.
        clock: Source of the current time.
    """

    plans: PlanService
    peers: PeerNetwork
    platform: Platform
    watchers: WatcherSource
    clock: Clock

    def register(self) -> None:
        """Register the handlers of plans from peers."""
        self.peers.register(PlanAnnouncement, self._on_announce)
        self.peers.register(PlanContents, self._on_contents)

    async def run(self) -> None:
        """Announce revisions and follow the platform until cancelled."""
        await asyncio.gather(self._announce(), self._follow_platform())

    def publish(self, plans: tuple[bytes, ...]) -> None:
        """Send encoded plans to all peers."""
        for peer in self.peers.connected_peers():
            self.peers.notify(peer, PlanContents(plans))

    def adopt(self, stored: StoredObject) -> None:
        """Put a plan of the platform in force and send it to peers if new."""
        if stored.content is None:
            return
        try:
            plan = decode_plan(stored.content)
        except PlatformError as error:
            log_event(Event.PLAN_REFUSED, error.detail, object=stored.name)
            return
        if self.plans.accept(plan, self.clock(), stored.version):
            self.publish((stored.content,))

    async def _announce(self) -> None:
        while True:
            revisions = tuple(
                (plan.service, plan.revision) for plan in self.plans.plans()
            )
            for peer in self.peers.connected_peers():
                self.peers.notify(peer, PlanAnnouncement(revisions))
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)

    async def _follow_platform(self) -> None:
        while True:
            try:
                await self._follow_while_watching()
            except PlatformError as error:
                if error.code is ResultCode.WATCH_TOO_OLD:
                    log_event(Event.WATCH_RESTARTED, prefix=PLAN_PREFIX)
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _follow_while_watching(self) -> None:
        version: int | None = None
        while self.watchers.is_watcher(self.clock()):
            if version is None:
                snapshot = await self.platform.list_objects(PLAN_PREFIX)
            else:
                snapshot = await self.platform.watch(
                    PLAN_PREFIX, version, _WATCH_TIMEOUT_S
                )
            for stored in snapshot.objects:
                self.adopt(stored)
            version = snapshot.version

    async def _on_announce(self, peer: str, message: PlanAnnouncement) -> None:
        check_rows(message.revisions, (str, int))
        known = dict(message.revisions)
        newer = tuple(
            encode_plan(plan)
            for plan in self.plans.plans()
            if plan.revision > known.get(plan.service, 0)
        )
        if newer:
            self.peers.notify(peer, PlanContents(newer))

    async def _on_contents(self, peer: str, message: PlanContents) -> None:
        check_rows(tuple((plan,) for plan in message.plans), (bytes,))
        accepted = []
        for encoded in message.plans:
            try:
                plan = decode_plan(encoded)
            except PlatformError as error:
                log_event(Event.PLAN_REFUSED, error.detail, peer=peer)
                continue
            if self.plans.accept(plan, self.clock()):
                accepted.append(encoded)
        if accepted:
            self.publish(tuple(accepted))
