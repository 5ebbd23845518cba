"""Moves tokens of accounts between daemons."""

import asyncio
from collections.abc import Callable
from math import ceil
from random import Random
from typing import Final

from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.messages import TokenGrant, TokenRequest
from geraniumshelf_core.shares.owners import (
    count_missing_tokens,
    find_owner,
    owned_accounts,
    record_token_demand,
)
from geraniumshelf_core.shares.quotas import Quotas, time_to_admission
from geraniumshelf_core.shares.transfers import TokenScope, grant_tokens
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.owners import OwnerView
from geraniumshelf_daemon.edge.tokens import TokenDemand

# Entries that are asked for the same tokens; what comes twice is lost.
_ASKED_ENTRIES: Final = 2
# Time between two looks of an owner at its tokens, well below the time for
# which it keeps a stock.
_FETCH_S: Final = 0.15


class TokenExchange:
    """Asks other daemons for tokens and answers theirs.

    Args:
        presence: What is known of the other daemons.
        owners: Who gathers the shares of accounts.
        quotas: Shares of this daemon.
        port: Sends and takes messages.
        own_heartbeat: Returns the newest beat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Chooses whom to ask.
    """

    def __init__(
        self,
        presence: PresenceState,
        owners: OwnerView,
        quotas: Quotas,
        port: DatagramPort,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        self._presence = presence
        self._owners = owners
        self._quotas = quotas
        self._port = port
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._random = random
        port.register(TokenRequest, self._hand_out)

    async def run(self) -> None:
        """Fetch tokens from other regions until the task is cancelled."""
        while True:
            await asyncio.sleep(_FETCH_S)
            if self._owners.is_pooling:
                self._fetch(self._clock())

    def request_tokens(self, question: TokenDemand, now: Nanoseconds) -> None:
        """Ask other entries for tokens of an account."""
        request = TokenRequest(
            self._own_heartbeat().name, now, question.account, question.wanted
        )
        for name in self._asked(question):
            self._send(name, request)

    def _asked(self, question: TokenDemand) -> list[str]:
        if question.scope is TokenScope.OWNER:
            owner = self._owners.find(question.account)
            return [owner] if owner else []
        is_near = question.scope is TokenScope.REGION
        names = [
            name
            for name, one in self._presence.peers.items()
            if one.heartbeat.is_ready and self._owners.is_near(name) is is_near
        ]
        asked = min(len(names), _ASKED_ENTRIES)
        return self._random.sample(names, asked)

    def _fetch(self, now: Nanoseconds) -> None:
        own = self._own_heartbeat().name
        far = self._owners.far
        for account in owned_accounts(self._owners.near, self._quotas, own):
            wanted = count_missing_tokens(self._quotas, account, now)
            if not wanted or not far:
                continue
            part = ceil(wanted / len(far))
            for owners in far:
                owner = find_owner(owners, account)
                if owner is not None:
                    self._send(owner, TokenRequest(own, now, account, part))

    def _hand_out(self, request: TokenRequest) -> None:
        now = self._clock()
        account, wanted = request.account, request.wanted
        is_owner = (
            self._owners.is_near(request.name)
            and self._owners.find(account) == self._own_heartbeat().name
        )
        if is_owner:
            record_token_demand(self._quotas, account, wanted)
        granted = grant_tokens(
            self._quotas, account, wanted, now, is_owner=is_owner
        )
        is_short = is_owner and granted < wanted
        if granted or is_short:
            wait = time_to_admission(self._quotas, account) if is_short else 0
            grant = TokenGrant(request.requested_at, account, granted, wait)
            self._send(request.name, grant)

    def _send(self, name: str, message: TokenRequest | TokenGrant) -> None:
        neighbour = self._presence.peers.get(name)
        if neighbour is not None:
            self._port.send(neighbour.heartbeat.ip, message)
