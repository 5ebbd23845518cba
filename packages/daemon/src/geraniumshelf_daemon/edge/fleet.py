"""Communication of an edge daemon with the other daemons."""

import os
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from geraniumshelf_core.placement.state import ServerView
from geraniumshelf_core.presence.commands import (
    add_target,
    register_instance,
)
from geraniumshelf_core.presence.entry_role import EntryRole
from geraniumshelf_core.presence.state import (
    PresenceHeartbeat,
    PresenceState,
    RegisteredInstance,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.demand_reports import DemandReports
from geraniumshelf_daemon.edge.heartbeats import Heartbeats
from geraniumshelf_daemon.edge.interface import (
    PlatformStore,
    ResponseFields,
)
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.notices import ServerNotices
from geraniumshelf_daemon.edge.owners import OwnerView
from geraniumshelf_daemon.edge.pacing import PaceMonitor
from geraniumshelf_daemon.edge.permits import ServerPermits
from geraniumshelf_daemon.edge.readings import ReadingExchange
from geraniumshelf_daemon.edge.registry import Registry
from geraniumshelf_daemon.edge.server_limits import ServerLimits
from geraniumshelf_daemon.edge.settings import EdgeSettings
from geraniumshelf_daemon.edge.share_exchange import ShareExchange
from geraniumshelf_daemon.edge.state import EdgeState
from geraniumshelf_daemon.edge.status import build_status
from geraniumshelf_daemon.edge.token_exchange import TokenExchange
from geraniumshelf_daemon.edge.tokens import AccountTokens

BackgroundTask = Callable[[], Awaitable[None]]


class FleetLink:
    """Exchanges heartbeats, shares and tokens with the other daemons.

    Attributes:
        presence: State of the other daemons.
        heartbeats: Sends and receives heartbeats.
        tokens: Grants tokens of client accounts to requests.
        notices: Applies what backend servers report of themselves.
        limits: Knows the limits that backend servers name.
        permits: Obtains permits for requests under these limits.

    Args:
        settings: Settings of this daemon.
        state: Holds its shares and the backend servers.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not send at the same time.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        state: EdgeState,
        clock: Callable[[], Nanoseconds],
        random: Random,
    ) -> None:
        quotas = state.quotas
        self._settings = settings
        self._state = state
        self._random = random
        self.presence = PresenceState(settings.ip)
        self._port = DatagramPort(settings.peer_port)
        self.heartbeats = Heartbeats(
            self.presence,
            _initial_heartbeat(settings),
            self._port,
            clock,
            random,
        )
        owners = OwnerView(self.presence, self.own_heartbeat, settings.regions)
        self._share_exchange = ShareExchange(
            self.presence,
            owners,
            quotas,
            self._port,
            self.own_heartbeat,
            clock,
            random,
        )
        self._token_exchange = TokenExchange(
            self.presence,
            owners,
            quotas,
            self._port,
            self.own_heartbeat,
            clock,
            random,
        )
        self.tokens = AccountTokens(
            quotas,
            clock,
            self._token_exchange.request_tokens,
            owners.has_other_owner,
        )
        self._token_exchange.forward_grants(self.tokens.receive_grant)
        self._limit_owners = LimitOwners(
            state.placement,
            self.presence,
            self.own_heartbeat,
            settings.regions,
        )
        self.limits = ServerLimits(
            state.placement,
            self.presence,
            self._limit_owners,
            self._port,
            clock,
            random,
        )
        self.permits = ServerPermits(
            state.placement,
            self.presence,
            self._limit_owners,
            self.limits,
            self._port,
            self.own_heartbeat,
            clock,
        )
        self._demand_reports = DemandReports(
            state.placement,
            self.presence,
            self._port,
            self.own_heartbeat,
            clock,
            random,
        )
        self.notices = ServerNotices(
            state.placement,
            self.presence,
            self._port,
            clock,
            self.limits,
        )
        self._readings = ReadingExchange(
            state.placement,
            self.presence,
            settings.name,
            self._port,
            clock,
            random,
        )
        self._paces = PaceMonitor(state.placement, self.presence, clock)

    def handle_response(
        self, view: ServerView, fields: ResponseFields, sent_at: Nanoseconds
    ) -> None:
        """Record what the response to a request says of its server."""
        self.notices.handle_response(view, fields, sent_at)
        self._readings.handle_response(view, fields)

    def own_heartbeat(self) -> PresenceHeartbeat:
        """Return the newest heartbeat of this daemon."""
        return self.heartbeats.own_heartbeat

    def read_status(self) -> dict[str, Any]:
        """Return the status of this daemon, for operators."""
        return build_status(
            self._settings.name, self._state, self._limit_owners
        )

    async def listen(self) -> None:
        """Open the socket for datagrams of the other daemons.

        Raises:
            OSError: If the address is in use.
        """
        settings = self._settings
        await self._port.listen(settings.ip)
        register_instance(
            self.presence,
            settings.name,
            RegisteredInstance(settings.zone, settings.cores),
            settings.ip,
        )
        for seed in settings.seeds:
            add_target(self.presence, seed)

    def create_background_tasks(
        self, store: PlatformStore, entry_role: EntryRole
    ) -> tuple[BackgroundTask, ...]:
        """Return the tasks that run until the daemon ends.

        Args:
            store: The platform's store, which keeps the registry.
            entry_role: Receives whether this instance was registered before.
        """
        registry = Registry(
            store, self.presence, self._settings, self._random, entry_role
        )
        workers: list[BackgroundTask] = [
            self.heartbeats.run,
            self._share_exchange.run,
            self._token_exchange.run,
            self.limits.run,
            self._readings.run,
            self._paces.run,
            self._demand_reports.run,
            registry.run,
        ]
        return tuple(workers)

    def close(self) -> None:
        """Close the socket."""
        self._port.close()


def _initial_heartbeat(settings: EdgeSettings) -> PresenceHeartbeat:
    return PresenceHeartbeat(
        settings.name,
        int.from_bytes(os.urandom(4)),
        0,
        settings.zone,
        settings.ip,
        settings.front_address,
        is_ready=False,
        cores=settings.cores,
    )
