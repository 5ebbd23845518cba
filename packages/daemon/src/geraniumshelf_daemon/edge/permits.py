"""Obtains permits for requests to limited servers, and grants them."""

import asyncio
from collections.abc import Callable
from typing import Final

from geraniumshelf_core.placement.limited_servers import (
    has_permit,
    make_limit_notice,
)
from geraniumshelf_core.placement.notices import get_notice
from geraniumshelf_core.placement.queries import preferred_limited_servers
from geraniumshelf_core.placement.server_limits import LimitNotice
from geraniumshelf_core.placement.state import (
    PlacementRequest,
    PlacementState,
    ServerView,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.shares.permits import (
    Granters,
    PermitBucket,
    PermitGrant,
    PermitRequest,
    grant_permits,
    is_owner_silent,
    make_bucket,
    plan_request,
    record_grant,
)
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.datagrams import DatagramPort
from geraniumshelf_daemon.edge.limit_owners import LimitOwners
from geraniumshelf_daemon.edge.server_limits import ServerLimits
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric

# A request waits no longer than this for permits, three round trips between two
# zones of a region.
_MAX_WAIT_MS: Final = 40
_MAX_WAIT_NS: Final[Nanoseconds] = _MAX_WAIT_MS * MILLISECOND_NS
# Wait of a daemon that asks one that does not grant permits for the server.
_WRONG_OWNER_MS: Final = 200
_WRONG_OWNER_NS: Final[Nanoseconds] = _WRONG_OWNER_MS * MILLISECOND_NS

_Key = tuple[str, int]
_Reply = asyncio.Future[None]


class ServerPermits:
    """Obtains and grants permits for requests to limited servers.

    Args:
        placement: Backend servers.
        presence: State of the other daemons.
        owners: Daemons that grant the permits.
        limits: Receives the limits that requests of other daemons state.
        port: Sends and receives messages.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        clock: Returns the current time, nanoseconds.
    """

    def __init__(
        self,
        placement: PlacementState,
        presence: PresenceState,
        owners: LimitOwners,
        limits: ServerLimits,
        port: DatagramPort,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._placement = placement
        self._presence = presence
        self._owners = owners
        self._limits = limits
        self._port = port
        self._own_heartbeat = own_heartbeat
        self._clock = clock
        self._buckets: dict[_Key, PermitBucket] = {}
        self._waiting: dict[_Key, list[_Reply]] = {}
        port.register(PermitRequest, self.receive_request)
        port.register(PermitGrant, self.receive_grant)

    async def acquire(self, request: PlacementRequest) -> None:
        """Obtain a permit for a server that a request prefers.

        Nothing is done if the preferred server has no limit. A request that
        gets no permit in a few milliseconds is placed without one.
        """
        if not self._placement.limited:
            return
        now = self._clock()
        end = now + _MAX_WAIT_NS
        views = preferred_limited_servers(self._placement, request, now)
        for view in tuple(views):
            view.notice.permits.needs += 1
            if has_permit(view, now) or now >= end:
                return
            if self.request(view, now):
                await self._wait_for_reply(view, end - now)
            now = self._clock()
            if has_permit(view, now):
                return

    def request(self, view: ServerView, now: Nanoseconds) -> bool:
        """Request permits for a server that a request prefers.

        Returns:
            Whether a reply is expected in a few milliseconds.
        """
        granters = self._owners.granters_of(view.server.name)
        stock = view.notice.permits
        is_silent = is_owner_silent(stock, now)
        wanted = plan_request(stock, now) if granters is not None else 0
        if granters is None or not wanted:
            return False
        count_metric(Metric.PERMITS_REQUESTED, wanted)
        request = self._make_request(view, wanted, now)
        self._ask(granters.owner, request)
        if is_silent and granters.deputy is not None:
            self._ask(granters.deputy, request)
        return not is_silent and self._is_near(view, granters)

    def receive_request(self, request: PermitRequest) -> None:
        """Reply to the request of another daemon."""
        grant = self._grant(request, self._clock())
        peer = self._presence.peers.get(request.name)
        if peer is None:
            return
        self._port.send(peer.heartbeat.ip, grant)
        view = self._placement.servers.get(request.server)
        if view is not None and view.notice.limit.version > request.version:
            self._port.send(peer.heartbeat.ip, make_limit_notice(view))

    def receive_grant(self, grant: PermitGrant) -> None:
        """Add granted permits, and let requests that wait for them go on."""
        notice = get_notice(self._placement, grant.server, grant.started_at_ms)
        granters = self._owners.granters_of(grant.server)
        record_grant(
            notice.permits,
            grant,
            self._clock(),
            is_from_owner=granters is None or granters.owner == grant.name,
        )
        key = (grant.server, grant.started_at_ms)
        for reply in self._waiting.pop(key, ()):
            if not reply.done():
                reply.set_result(None)

    def _ask(self, name: str, request: PermitRequest) -> None:
        if name == request.name:
            self.receive_grant(self._grant(request, self._clock()))
            return
        peer = self._presence.peers.get(name)
        if peer is not None:
            self._port.send(peer.heartbeat.ip, request)

    def _grant(self, request: PermitRequest, now: Nanoseconds) -> PermitGrant:
        key = (request.server, request.started_at_ms)
        self._limits.receive_notice(
            LimitNotice(*key, request.rate, request.version)
        )
        granted, wait = 0, _WRONG_OWNER_NS
        fraction = self._owners.own_fraction(request.server, now)
        rate = get_notice(self._placement, *key).limit.rate
        if fraction and rate is not None:
            if key not in self._buckets:
                self._drop_unused_buckets()
                self._buckets[key] = make_bucket(now)
            granted, wait = grant_permits(
                self._buckets[key], rate * fraction, request, now
            )
        count_metric(Metric.PERMITS_GRANTED, granted)
        name = self._own_heartbeat().name
        return PermitGrant(name, request.requested_at, *key, granted, wait)

    def _drop_unused_buckets(self) -> None:
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if key in self._placement.limited
        }

    async def _wait_for_reply(
        self, view: ServerView, max_wait: Nanoseconds
    ) -> None:
        reply: _Reply = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(_key(view), []).append(reply)
        await asyncio.wait({reply}, timeout=ns_to_seconds(max_wait))
        reply.cancel()

    def _is_near(self, view: ServerView, granters: Granters) -> bool:
        """Return whether the owner is another daemon, and in this region."""
        if granters.is_remote or granters.owner == self._own_heartbeat().name:
            return False
        return view.region == self._placement.place.region

    def _make_request(
        self, view: ServerView, wanted: int, now: Nanoseconds
    ) -> PermitRequest:
        server, limit = view.server, view.notice.limit
        return PermitRequest(
            self._own_heartbeat().name,
            now,
            server.name,
            server.started_at_ms,
            limit.rate or 0,
            limit.version,
            wanted,
        )


def _key(view: ServerView) -> _Key:
    return view.server.name, view.server.started_at_ms
