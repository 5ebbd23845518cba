"""Tracking of members by heartbeats and the platform's instance list."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.membership import commands, queries, roster_updates
from geraniumshelf_core.membership.state import SILENCE_LIMIT_NS, ListedMember
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.units import Nanoseconds, seconds_to_ns
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.list_exchange import ListExchange
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.membership.roster_exchange import RosterExchange
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.links import PeerLinks
from geraniumshelf_daemon.platform.interface import Platform

POLL_INTERVAL_S: Final = 5.0

_UPDATE_INTERVAL_S: Final = 0.25
# After a longer gap between updates this process was paused. Heartbeats wait
# to be read, so silent peers are not withdrawn until they had time to report.
_MAX_UPDATE_GAP_NS: Final[Nanoseconds] = seconds_to_ns(1)


class MembershipService:
    """Keeps the members up to date and chooses the peers to link to.

    Every daemon reads the instance list once at start. After that only the
    watchers of a zone poll it; other daemons get changes from their peers.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        platform: Platform,
        *,
        seeds: Iterable[str] = (),
    ) -> None:
        """Register message handlers and listeners.

        Args:
            members: Members to keep up to date.
            links: Links whose targets are set.
            platform: Source of the instance list.
            seeds: Peer addresses to dial while no instance list is known.
        """
        self._members = members
        self._state = members.state
        self._links = links
        self._platform = platform
        self._seeds = frozenset(seeds)
        self._tasks: tuple[asyncio.Task[None], ...] = ()
        self._was_cut_off = True
        self._silence_judged_from: Nanoseconds = 0
        members.subscribe_announcement(links.send_heartbeat_now)
        links.subscribe(self._on_link)
        links.register(Heartbeat, self._on_heartbeat)
        self._list_exchange = ListExchange(self._state, links)
        self._roster_exchange = RosterExchange(members, links)
        links.find_address = self._find_address

    def start(self) -> None:
        """Start the tasks that track members."""
        self._tasks = (
            asyncio.create_task(self._update_members()),
            asyncio.create_task(self._poll_list()),
            asyncio.create_task(self._roster_exchange.compare_digests()),
            asyncio.create_task(self._roster_exchange.pull_differences()),
        )

    async def stop(self) -> None:
        """Stop the tasks that track members; links stay connected."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _update_members(self) -> None:
        last_update_at = current_time()
        while True:
            now = current_time()
            if now - last_update_at > _MAX_UPDATE_GAP_NS:
                self._silence_judged_from = now + SILENCE_LIMIT_NS
            last_update_at = now
            if now >= self._silence_judged_from:
                roster_updates.withdraw_lost_peers(self._state, now)
            commands.expire_silent_peers(
                self._state, self._links.connected_peers(), now
            )
            roster_updates.check_watcher_contact(self._state, now)
            self._members.publish_own_entry(now)
            self._roster_exchange.send_changes()
            self._update_link_targets(now)
            self._log_cut_off(now)
            await asyncio.sleep(_UPDATE_INTERVAL_S)

    async def _poll_list(self) -> None:
        await self._read_list()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = current_time()
            is_watcher = self._members.is_watcher(now)
            if is_watcher or roster_updates.is_probe_due(self._state, now):
                await self._read_list()

    def _find_address(self, instance: str) -> str | None:
        if instance in self._state.link_targets_since:
            # The peer is already being dialed, or it is down.
            return None
        return queries.peer_address(self._state, instance)

    async def _read_list(self) -> None:
        now = current_time()
        try:
            listed = await self._platform.list_instances()
        except PlatformError as error:
            if error.code is not ResultCode.PLATFORM_UNREACHABLE:
                log_event(Event.TASK_FAILED, error.detail)
            return
        self._members.record_contact(now)
        members = [
            ListedMember(
                item.name,
                item.zone,
                item.peer_address,
                item.is_leaving,
            )
            for item in listed
        ]
        former = self._state.listed
        if commands.replace_instance_list(self._state, members, now):
            self._update_link_targets(now)
            self._list_exchange.announce_change('', former)

    def _update_link_targets(self, now: Nanoseconds) -> None:
        targets = set(queries.link_targets(self._state, now).values())
        if not self._state.listed:
            targets |= self._seeds
        self._links.set_targets(targets)

    def _on_link(self, hello: Hello) -> None:
        now = current_time()
        commands.record_link(self._state, hello, now)
        self._list_exchange.announce_list(hello.instance)

    async def _on_heartbeat(self, peer: str, message: Heartbeat) -> Any:
        self._members.receive_heartbeat(peer, message, current_time())

    def _log_cut_off(self, now: Nanoseconds) -> None:
        is_cut_off = self._members.is_cut_off(now)
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            log_event(Event.ZONE_CUT_OFF if is_cut_off else Event.ZONE_REJOINED)
