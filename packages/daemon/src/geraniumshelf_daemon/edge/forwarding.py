"""Forwards requests to an entry while this daemon has not loaded."""

from collections.abc import Callable
from contextlib import suppress
from typing import Final

from tornado.httputil import HTTPHeaders

from geraniumshelf_core.errors import Ran, RequestRefused, ResultCode
from geraniumshelf_core.presence.freshness import (
    ForwardingState,
    choose_forwarding_target,
)
from geraniumshelf_core.presence.state import PresenceHeartbeat, PresenceState
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    SECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.edge.delivery import relay_forwarded
from geraniumshelf_daemon.edge.forwarded_request import (
    ForwardedRequest,
    is_forwarded,
)
from geraniumshelf_daemon.edge.grace import make_stop_refusal, may_forward
from geraniumshelf_daemon.edge.interface import HeaderCodec
from geraniumshelf_daemon.edge.routed_request import route_caller
from geraniumshelf_daemon.edge.settings import OperatorBounds
from geraniumshelf_daemon.edge.state import EdgeState, RequestProgress
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.observability.metric_names import Metric
from geraniumshelf_daemon.observability.metrics import count_metric
from geraniumshelf_daemon.upstream.response_delegate import ResponseHead

# Bounds the wait of a caller that states no deadline; the timeout of its route
# is not known before this daemon has loaded.
_MAX_WAIT_S: Final = 120
_MAX_WAIT_NS: Final[Nanoseconds] = _MAX_WAIT_S * SECOND_NS
# Time for the entry's own response at the deadline to arrive.
_RESPONSE_MARGIN_MS: Final = 100
_RESPONSE_MARGIN_NS: Final[Nanoseconds] = _RESPONSE_MARGIN_MS * MILLISECOND_NS
# Heartbeats of other daemons come more often than this.
_RETRY_AFTER_S: Final = 0.5
# Interval at which a waiting request checks whether this daemon has loaded.
_CHECK_INTERVAL_S: Final = 0.1
# Safe methods of RFC 9110, section 9.2.1.
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))


class RequestForwarder:
    """Forwards requests, so that a standby can serve without loading.

    Args:
        presence: State of the other daemons.
        state: Shows whether this daemon has loaded and serves by itself.
        own_heartbeat: Returns the newest heartbeat of this daemon.
        bounds: Returns the limits in force.
        clock: Returns the current time, nanoseconds.
        codec: Reads and writes the headers of requests.
    """

    def __init__(
        self,
        presence: PresenceState,
        state: EdgeState,
        own_heartbeat: Callable[[], PresenceHeartbeat],
        bounds: Callable[[], OperatorBounds],
        clock: Callable[[], Nanoseconds],
        codec: HeaderCodec,
    ) -> None:
        self._presence = presence
        self._state = state
        self._own_heartbeat = own_heartbeat
        self._bounds = bounds
        self._clock = clock
        self._codec = codec
        self._forwarding = ForwardingState()

    def find_target(
        self, caller: Caller, now: Nanoseconds
    ) -> PresenceHeartbeat | None:
        """Return the entry that serves a request in place of this daemon.

        Returns:
            The heartbeat of the entry; ``None`` if this daemon serves the
            request, or if no entry may.
        """
        state, forwarding = self._state, self._forwarding
        if state.is_loaded or is_forwarded(caller.headers):
            return None
        if not may_forward(state, now):
            return None
        forwarding.last_request_at = max(
            forwarding.last_request_at, state.last_request_at
        )
        return choose_forwarding_target(
            self._presence,
            forwarding,
            self._own_heartbeat(),
            self._bounds().max_configuration_age,
            now,
        )

    async def forward(
        self,
        caller: Caller,
        target: PresenceHeartbeat,
        progress: RequestProgress,
        now: Nanoseconds,
    ) -> None:
        """Send a request to an entry and relay the response.

        Args:
            caller: The request.
            target: Heartbeat of the entry.
            progress: Records whether the request may have run.
            now: Time of its arrival.

        Raises:
            RequestRefused: If the entry can't be reached, or if the response
                is late or incomplete.
        """
        count_metric(Metric.REQUESTS_FORWARDED)
        self._forwarding.last_request_at = now
        if caller.method not in _SAFE_METHODS:
            # If the response to an earlier request closes the connection, this
            # one counts as not read and must not have reached a server.
            await caller.wait_for_earlier_responses()
        timeout = self._codec.read_request(caller.headers).timeout
        max_wait = _MAX_WAIT_NS if timeout is None else timeout
        deadline = now + max_wait
        self._check_time(progress, deadline, self._clock())
        request = ForwardedRequest(caller, target.front_address)
        try:
            await request.connect()
            progress.ran = Ran.UNKNOWN
            request.send(self._write_headers(caller, timeout, deadline))
            head = await self._wait_for_head(caller, request, deadline, now)
            await relay_forwarded(
                caller, request, head, deadline, self._clock()
            )
        except OSError as error:
            log_event(
                Event.CONNECTION_PASSED, target.name, end=type(error).__name__
            )
            raise _make_refusal(progress) from error
        finally:
            request.close()

    def _check_time(
        self,
        progress: RequestProgress,
        deadline: Nanoseconds,
        now: Nanoseconds,
    ) -> None:
        """Refuse a request that has waited for too long."""
        if now >= deadline:
            raise RequestRefused(
                ResultCode.DEADLINE_EXCEEDED,
                'the deadline passed before the request could be forwarded',
            )
        if not may_forward(self._state, now):
            raise make_stop_refusal(progress)

    def _write_headers(
        self, caller: Caller, timeout: Nanoseconds | None, deadline: Nanoseconds
    ) -> HTTPHeaders:
        time_left: Nanoseconds | None = None
        if timeout is not None:
            time_left = deadline - self._clock()
        return self._codec.forward_request(caller.headers, time_left)

    async def _wait_for_head(
        self,
        caller: Caller,
        request: ForwardedRequest,
        deadline: Nanoseconds,
        arrived_at: Nanoseconds,
    ) -> ResponseHead:
        while True:
            deadline = min(deadline, self._route_deadline(caller, arrived_at))
            # The entry refuses the request itself at its deadline.
            time_left = deadline + _RESPONSE_MARGIN_NS - self._clock()
            if time_left <= 0:
                raise RequestRefused(
                    ResultCode.DEADLINE_EXCEEDED,
                    'no response of the entry instance before the deadline',
                    ran=Ran.UNKNOWN,
                )
            wait_s = min(_CHECK_INTERVAL_S, ns_to_seconds(time_left))
            head = await request.wait_head(wait_s)
            if head is not None:
                return head

    def _route_deadline(
        self, caller: Caller, arrived_at: Nanoseconds
    ) -> Nanoseconds:
        """Return the deadline that the route sets, once it is known."""
        if self._state.is_loaded:
            fields = self._codec.read_request(caller.headers)
            # The configuration may not allow the request any more.
            with suppress(RequestRefused):
                return route_caller(
                    self._state.table, caller, fields, arrived_at
                ).deadline
        return arrived_at + _MAX_WAIT_NS


def _make_refusal(progress: RequestProgress) -> RequestRefused:
    if progress.ran is Ran.NOT_RUN:
        return RequestRefused(
            ResultCode.NOT_READY,
            'the entry instance that serves requests accepts no connection',
            retry_after_s=_RETRY_AFTER_S,
        )
    return RequestRefused(
        ResultCode.BACKEND_BROKEN,
        'the connection to the entry instance ended without a response',
        ran=progress.ran,
    )
