"""Replication of the table of members over the links of a large fleet."""

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

# 1,000 rows take about 130 KB in one frame, which delays heartbeats on the
# same link by a few milliseconds.
MAX_MESSAGE_ROWS: Final = 1000
DIGEST_INTERVAL_S: Final = 4.0

_PULL_TIMEOUT_NS: Final[Nanoseconds] = 2 * SECOND_NS
# Digests differ for a short time while changes are in flight, so rows are
# pulled only after this many differing digests in succession.
_PULL_AFTER_DIFFERENCES: Final = 2


class RosterExchange:
    """Sends changes at once and compares digests with linked peers.

    In a full mesh only the own entry is sent, and only to report whether this
    daemon is a failed watcher.
    """

    def __init__(self, members: Members, links: PeerLinks) -> None:
        self._members = members
        self._state = members.state
        self._links = links
        self._difference_counts: dict[str, int] = {}
        self._peers_to_pull: asyncio.Queue[str] = asyncio.Queue()
        self._was_failed_watcher = False
        self._was_full_mesh = True
        links.subscribe(self._on_link)
        links.register(MemberRows, self._on_rows)
        links.register(MemberDigest, self._on_digest)
        links.register(MemberPull, self._on_pull)

    async def compare_digests(self) -> None:
        """Send the digest to linked peers at intervals until cancelled."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_S)
            expire_withdrawn(self._state.roster, current_time())
            if not self._is_full_mesh():
                self._send_digest()

    async def pull_differences(self) -> None:
        """Pull rows from peers whose digests differ until cancelled."""
        while True:
            peer = await self._peers_to_pull.get()
            has_more = True
            while has_more:
                has_more = await self._pull_once(peer)

    def send_changes(self) -> None:
        """Send all changes to the linked peers they did not come from."""
        changes = take_changes(self._state.roster)
        is_mesh = self._is_full_mesh()
        if is_mesh:
            changes = self._failed_watcher_change()
        elif self._was_full_mesh:
            # The fleet has outgrown the full mesh, in which peers did not get
            # the own entry.
            changes.setdefault(self._state.own.instance, '')
        self._was_full_mesh = is_mesh
        if not changes:
            return
        for peer in self._links.connected_peers():
            names = [name for name in changes if changes[name] != peer]
            self._send(peer, names)

    def _send_digest(self) -> None:
        linked = self._links.connected_peers()
        for peer in linked:
            self._links.notify(peer, _digest(self._state.roster))
        for unlinked in set(self._difference_counts).difference(linked):
            self._difference_counts.pop(unlinked)

    def _merge(self, peer: str, message: MemberRows) -> None:
        """Merge received rows and send newer ones back to the peer."""
        now = current_time()
        roster = self._state.roster
        outdated = merge_rows(roster, message.rows, peer, now)
        withdraw_predecessors(self._state, now)
        self._members.publish_own_entry(now)
        self._send(peer, outdated)
        self.send_changes()

    def _failed_watcher_change(self) -> dict[str, str]:
        is_failed_watcher = self._state.status.is_failed_watcher
        if is_failed_watcher == self._was_failed_watcher:
            return {}
        self._was_failed_watcher = is_failed_watcher
        return {self._state.own.instance: ''}

    def _is_full_mesh(self) -> bool:
        return is_full_mesh(
            queries.zones_by_instance(self._state, current_time())
        )

    def _send(self, peer: str, names: Iterable[str]) -> None:
        rows = roster_queries.export_rows(
            self._state.roster, names, current_time()
        )
        for start in range(0, len(rows), MAX_MESSAGE_ROWS):
            message = MemberRows(rows[start : start + MAX_MESSAGE_ROWS])
            self._links.notify(peer, message)

    def _on_link(self, hello: Hello) -> None:
        self._difference_counts.pop(hello.instance, None)
        if self._state.status.is_failed_watcher or not self._is_full_mesh():
            self._send(hello.instance, (self._state.own.instance,))
        if not self._is_full_mesh():
            self._links.notify(hello.instance, _digest(self._state.roster))

    async def _on_rows(self, peer: str, message: MemberRows) -> Any:
        self._merge(peer, message)

    async def _on_digest(self, peer: str, message: MemberDigest) -> Any:
        if self._is_full_mesh() or message == _digest(self._state.roster):
            self._difference_counts[peer] = 0
            return
        # The first differing digest on a new link already causes a pull.
        count = (
            self._difference_counts.get(peer, _PULL_AFTER_DIFFERENCES - 1) + 1
        )
        self._difference_counts[peer] = count
        if count == _PULL_AFTER_DIFFERENCES:
            self._difference_counts[peer] = 0
            self._peers_to_pull.put_nowait(peer)

    async def _on_pull(self, _peer: str, message: MemberPull) -> Any:
        roster = self._state.roster
        names = roster_queries.differing_instances(roster, message)
        rows = roster_queries.export_rows(
            roster, names[:MAX_MESSAGE_ROWS], current_time()
        )
        return MemberRows(rows)

    async def _pull_once(self, peer: str) -> bool:
        """Pull rows once and return whether there may be more."""
        roster = self._state.roster
        version = roster.version
        request = roster_queries.build_pull(roster)
        try:
            reply = await self._links.request(peer, request, _PULL_TIMEOUT_NS)
        except PeerError:
            return False
        if not isinstance(reply, MemberRows):
            return False
        try:
            self._merge(peer, reply)
        except PeerError:
            return False
        return roster.version != version and len(reply.rows) == MAX_MESSAGE_ROWS


def _digest(roster: Roster) -> MemberDigest:
    return MemberDigest(roster_queries.digest(roster))
