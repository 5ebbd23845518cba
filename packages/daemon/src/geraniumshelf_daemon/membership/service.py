"""Follows members over links and the platform's instance list."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.membership import commands, queries, roster_updates
from geraniumshelf_core.membership.state import SILENCE_LIMIT_NS, ListedMember
from geraniumshelf_core.messages.membership import Heartbeat, Hello
from geraniumshelf_core.units import Nanoseconds, seconds_to_ns
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.lists import ListExchange
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.membership.spread import MemberSpread
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.peers.links import PeerLinks
from geraniumshelf_daemon.platform.interface import Platform

POLL_INTERVAL_S: Final = 5.0

_STEP_S: Final = 0.25
# After a longer step this daemon was paused and has heartbeats to read.
_LONGEST_STEP: Final[Nanoseconds] = seconds_to_ns(1)


class MembershipService:
    """Keeps members up to date and chooses whom to link to.

    Every daemon reads the instance list once at start; after that only the
    watchers of a zone poll it, and peers pass on a list that changed.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        platform: Platform,
        *,
        seeds: Iterable[str] = (),
    ) -> None:
        """Prepare to follow members.

        Args:
            members: Members to keep up to date.
            links: Links to direct.
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
        self._judged_from: Nanoseconds = 0
        members.subscribe_contact(links.beat_soon)
        links.subscribe(self._on_link)
        links.register(Heartbeat, self._on_heartbeat)
        self._lists = ListExchange(self._state, links)
        self._spread = MemberSpread(members, links)
        links.find_address = self._find_address

    def start(self) -> None:
        """Start following members."""
        self._tasks = (
            asyncio.create_task(self._keep()),
            asyncio.create_task(self._poll()),
            asyncio.create_task(self._spread.compare()),
            asyncio.create_task(self._spread.pull()),
        )

    async def stop(self) -> None:
        """Stop following; links stay."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep(self) -> None:
        last = current_time()
        while True:
            now = current_time()
            if now - last > _LONGEST_STEP:
                self._judged_from = now + SILENCE_LIMIT_NS
            last = now
            if now >= self._judged_from:
                roster_updates.withdraw_lost_peers(self._state, now)
            commands.expire_silent_peers(
                self._state, self._links.connected(), now
            )
            roster_updates.check_watcher_contact(self._state, now)
            self._members.refresh_own(now)
            self._spread.flush()
            self._direct_links(now)
            self._log_cut_off(now)
            await asyncio.sleep(_STEP_S)

    async def _poll(self) -> None:
        await self._read_list()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = current_time()
            is_watcher = self._members.is_watcher(now)
            if is_watcher or roster_updates.is_probe_due(self._state, now):
                await self._read_list()

    def _find_address(self, instance: str) -> str | None:
        if instance in self._state.link_targets_since:
            # It is dialed already, or down.
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
            ListedMember(one.name, one.zone, one.peer_address, one.is_leaving)
            for one in listed
        ]
        former = self._state.listed
        if commands.replace_instance_list(self._state, members, now):
            self._direct_links(now)
            self._lists.tell('', former)

    def _direct_links(self, now: Nanoseconds) -> None:
        targets = set(queries.link_targets(self._state, now).values())
        if not self._state.listed:
            targets |= self._seeds
        self._links.set_targets(targets)

    def _on_link(self, hello: Hello) -> None:
        now = current_time()
        commands.record_link(self._state, hello, now)
        self._lists.greet(hello.instance)

    async def _on_heartbeat(self, peer: str, message: Heartbeat) -> Any:
        self._members.receive_heartbeat(peer, message, current_time())

    def _log_cut_off(self, now: Nanoseconds) -> None:
        is_cut_off = self._members.is_cut_off(now)
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            log_event(Event.ZONE_CUT_OFF if is_cut_off else Event.ZONE_REJOINED)
