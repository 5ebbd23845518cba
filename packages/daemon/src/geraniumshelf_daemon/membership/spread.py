"""Spreads the table of members over the links of a large fleet."""

import asyncio
from collections.abc import Iterable
from typing import Any, Final

from geraniumshelf_core.errors import PeerError
from geraniumshelf_core.membership import queries
from geraniumshelf_core.membership.roster_updates import withdraw_predecessors
from geraniumshelf_core.membership.topology import is_full_mesh
from geraniumshelf_core.messages.membership import Hello
from geraniumshelf_core.messages.roster import (
    MemberDigest,
    MemberPull,
    MemberRows,
)
from geraniumshelf_core.roster import queries as roster_queries
from geraniumshelf_core.roster.commands import (
    expire_withdrawn,
    merge_rows,
    take_changes,
)
from geraniumshelf_core.roster.state import Roster
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.peers.links import PeerLinks

# About 130 KB in one frame, which holds up heartbeats for a few milliseconds.
ROWS_LIMIT: Final = 1000
DIGEST_INTERVAL_S: Final = 4.0

_PULL_TIMEOUT: Final[Nanoseconds] = 2 * SECOND_NS
# Changes that are on their way make digests differ for a moment.
_DIFFERENCES: Final = 2


class MemberSpread:
    """Sends changes at once and compares digests with linked peers.

    In a full mesh nothing is sent, but for an own entry that tells whether
    this daemon reaches the platform.
    """

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self._members = members
        self._state = members.state
        self._links = links
        self._differences: dict[str, int] = {}
        self._wanted: asyncio.Queue[str] = asyncio.Queue()
        self._was_blind = False
        self._was_mesh = True
        links.subscribe(self._on_link)
        links.register(MemberRows, self._on_rows)
        links.register(MemberDigest, self._on_digest)
        links.register(MemberPull, self._on_pull)

    async def compare(self) -> None:
        """Send the digest to linked peers, for ever."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            expire_withdrawn(self._state.roster, current_time())
            if not self._is_mesh():
                self._send_digest()

    async def pull(self) -> None:
        """Pull from peers whose digests differ, for ever."""
        while True:
            peer = await self._wanted.get()
            has_more = True
            while has_more:
                has_more = await self._pull_once(peer)

    def flush(self) -> None:
        """Send all changes to the linked peers that do not have them."""
        changes = take_changes(self._state.roster)
        is_mesh = self._is_mesh()
        if is_mesh:
            changes = self._blind_change()
        elif self._was_mesh:
            # The fleet has grown; nobody got this entry so far.
            changes.setdefault(self._state.own.instance, '')
        self._was_mesh = is_mesh
        if not changes:
            return
        for peer in self._links.connected():
            names = [name for name in changes if changes[name] != peer]
            self._send(peer, names)

    def _send_digest(self) -> None:
        linked = self._links.connected()
        for peer in linked:
            self._links.notify(peer, _digest(self._state.roster))
        for gone in set(self._differences).difference(linked):
            self._differences.pop(gone)

    def _take(self, peer: str, message: MemberRows) -> None:
        """Take in entries and return those that are outdated."""
        now = current_time()
        roster = self._state.roster
        outdated = merge_rows(roster, message.rows, peer, now)
        withdraw_predecessors(self._state, now)
        self._members.refresh_own(now)
        self._send(peer, outdated)
        self.flush()

    def _blind_change(self) -> dict[str, str]:
        is_failed_watcher = self._state.status.is_failed_watcher
        if is_failed_watcher == self._was_blind:
            return {}
        self._was_blind = is_failed_watcher
        return {self._state.own.instance: ''}

    def _is_mesh(self) -> bool:
        return is_full_mesh(
            queries.zones_by_instance(self._state, current_time())
        )

    def _send(self, peer: str, names: Iterable[str]) -> None:
        rows = roster_queries.export_rows(
            self._state.roster, names, current_time()
        )
        for start in range(0, len(rows), ROWS_LIMIT):
            message = MemberRows(rows[start : start + ROWS_LIMIT])
            self._links.notify(peer, message)

    def _on_link(self, hello: Hello) -> None:
        self._differences.pop(hello.instance, None)
        if self._state.status.is_failed_watcher or not self._is_mesh():
            self._send(hello.instance, (self._state.own.instance,))
        if not self._is_mesh():
            self._links.notify(hello.instance, _digest(self._state.roster))

    async def _on_rows(self, peer: str, message: MemberRows) -> Any:
        self._take(peer, message)

    async def _on_digest(self, peer: str, message: MemberDigest) -> Any:
        if self._is_mesh() or message == _digest(self._state.roster):
            self._differences[peer] = 0
            return
        # The first digest of a new link counts at once.
        count = self._differences.get(peer, _DIFFERENCES - 1) + 1
        self._differences[peer] = count
        if count == _DIFFERENCES:
            self._differences[peer] = 0
            self._wanted.put_nowait(peer)

    async def _on_pull(self, _peer: str, message: MemberPull) -> Any:
        roster = self._state.roster
        names = roster_queries.differing_instances(roster, message)
        rows = roster_queries.export_rows(
            roster, names[:ROWS_LIMIT], current_time()
        )
        return MemberRows(rows)

    async def _pull_once(self, peer: str) -> bool:
        """Pull once; return whether there may be more."""
        roster = self._state.roster
        version = roster.version
        request = roster_queries.build_pull(roster)
        try:
            answer = await self._links.request(peer, request, _PULL_TIMEOUT)
        except PeerError:
            return False
        if not isinstance(answer, MemberRows):
            return False
        try:
            self._take(peer, answer)
        except PeerError:
            return False
        return roster.version != version and len(answer.rows) == ROWS_LIMIT


def _digest(roster: Roster) -> MemberDigest:
    return MemberDigest(roster_queries.digest(roster))
