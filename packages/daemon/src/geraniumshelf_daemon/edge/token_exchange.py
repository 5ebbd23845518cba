"""Exchanges tokens of client accounts with other daemons."""

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
from geraniumshelf_core.shares.quotas import AccountQuotas, time_to_admission
from geraniumshelf_core.shares.token_requests import (
    AnsweredTokenRequests,
    PendingTokenRequests,
    begin_answer,
    begin_pending,
    end_pending,
)
from geraniumshelf_core.shares.transfers import TokenScope, grant_tokens
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.owners import OwnerView
from geraniumshelf_daemon.edge.tokens import TokenDemand
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# Number of entry instances that get a request for the same tokens. Tokens that
# several of them grant for one request may be lost.
_MAX_RECIPIENTS: Final = 2
# Interval at which an owner checks whether its tokens run low. It is well below
# the time for which it keeps tokens in stock.
_FETCH_INTERVAL_S: Final = 0.15


class TokenExchange:
    """Requests tokens from other daemons and replies to theirs.

    Args:
        presence: State of the other daemons.
        owners: Daemons that pool the shares of accounts.
        quotas: Shares of this daemon.
        port: Sends and receives messages.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        clock: Returns the current time, nanoseconds.
        random: Chooses the daemons that get a request.
    """

    def __init__(
        self,
        presence: PresenceState,
        owners: OwnerView,
        quotas: AccountQuotas,
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
        self._pending = PendingTokenRequests()
        self._answers = AnsweredTokenRequests()
        port.register(TokenRequest, self._grant)

    async def run(self) -> None:
        """Fetch tokens from other regions until the task is cancelled."""
        while True:
            await asyncio.sleep(_FETCH_INTERVAL_S)
            if self._owners.is_pooling:
                self._fetch_tokens(self._clock())

    def forward_grants(self, receive: Callable[[TokenGrant], None]) -> None:
        """Pass the first grant for each request to a function."""

        def receive_first(grant: TokenGrant) -> None:
            if end_pending(self._pending, grant):
                receive(grant)
            else:
                count_metric(Metric.GRANTS_DROPPED)

        self._port.register(TokenGrant, receive_first)

    def request_tokens(self, demand: TokenDemand, now: Nanoseconds) -> None:
        """Request tokens of an account from other entry instances."""
        for name in self._choose_recipients(demand):
            self._request(name, demand.account, demand.wanted, now)

    def _choose_recipients(self, demand: TokenDemand) -> list[str]:
        if demand.scope is TokenScope.OWNER:
            owner = self._owners.owner_of(demand.account)
            return [owner] if owner else []
        is_in_own_region = demand.scope is TokenScope.REGION
        names = [
            name
            for name, peer in self._presence.peers.items()
            if peer.heartbeat.is_ready
            and self._owners.is_in_own_region(name) is is_in_own_region
        ]
        count = min(len(names), _MAX_RECIPIENTS)
        return self._random.sample(names, count)

    def _fetch_tokens(self, now: Nanoseconds) -> None:
        own_name = self._own_heartbeat().name
        other_region_owners = self._owners.other_region_owners
        for account in owned_accounts(
            self._owners.own_region_owners, self._quotas, own_name
        ):
            wanted = count_missing_tokens(self._quotas, account, now)
            if not wanted or not other_region_owners:
                continue
            wanted_each = ceil(wanted / len(other_region_owners))
            for owners in other_region_owners:
                owner = find_owner(owners, account)
                if owner is not None:
                    self._request(owner, account, wanted_each, now)

    def _request(
        self, name: str, account: str, wanted: int, now: Nanoseconds
    ) -> None:
        requested_at = begin_pending(self._pending, account, now)
        own_name = self._own_heartbeat().name
        self._send(name, TokenRequest(own_name, requested_at, account, wanted))

    def _grant(self, request: TokenRequest) -> None:
        now = self._clock()
        if not begin_answer(self._answers, request, now):
            return
        account, wanted = request.account, request.wanted
        is_owner = (
            self._owners.is_in_own_region(request.name)
            and self._owners.owner_of(account) == self._own_heartbeat().name
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
        peer = self._presence.peers.get(name)
        if peer is not None:
            self._port.send(peer.heartbeat.ip, message)
