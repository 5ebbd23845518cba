"""Replication of the platform's instance list among linked daemons."""

from collections.abc import Mapping
from typing import Any

from geraniumshelf_core.membership import commands, queries
from geraniumshelf_core.membership.list_changes import (
    apply_list_change,
    build_list_change,
    is_newer_list,
)
from geraniumshelf_core.membership.state import ListedMember, MembershipState
from geraniumshelf_core.messages.membership import (
    MemberList,
    MemberListChange,
    MemberListPull,
)
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.peers.links import PeerLinks


class ListExchange:
    """Sends changes of the instance list to linked peers.

    A peer whose list is not the one that a change is based on pulls the whole
    list. The whole list of 4,700 members takes 165 KB, too much to be sent
    with each change.
    """

    def __init__(self, state: MembershipState, links: PeerLinks) -> None:
        self._state = state
        self._links = links
        links.register(MemberList, self._on_member_list)
        links.register(MemberListChange, self._on_list_change)
        links.register(MemberListPull, self._on_list_pull)

    def announce_list(self, peer: str) -> None:
        """Send the digest of the own list to a newly linked peer."""
        now = current_time()
        message = build_list_change(self._state, self._state.listed, now)
        if message is not None:
            self._links.notify(peer, message)

    def announce_change(
        self, source: str, former: Mapping[str, ListedMember]
    ) -> None:
        """Send the difference from the former list to the linked peers.

        Args:
            source: Peer that sent the list, which is left out; empty for
                none.
            former: The list before the change, by instance name.
        """
        message = build_list_change(self._state, former, current_time())
        for peer in self._links.connected_peers():
            if peer != source:
                self._links.notify(peer, message)

    async def _on_member_list(self, peer: str, message: MemberList) -> Any:
        former = self._state.listed
        if commands.record_member_list(self._state, message, current_time()):
            self.announce_change(peer, former)

    async def _on_list_change(
        self, peer: str, message: MemberListChange
    ) -> Any:
        now = current_time()
        if not is_newer_list(self._state, message, now):
            return
        former = self._state.listed
        if not apply_list_change(self._state, message, now):
            self._links.notify(peer, MemberListPull())
        elif self._state.listed != former:
            self.announce_change(peer, former)

    async def _on_list_pull(self, peer: str, _message: MemberListPull) -> Any:
        message = queries.member_list(self._state, current_time())
        if message is not None:
            self._links.notify(peer, message)
