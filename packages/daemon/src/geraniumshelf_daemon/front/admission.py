"""Checks whether a request may run before a backend server is chosen."""

from collections.abc import Callable

from attrs import frozen

from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    CutOffPolicy,
    Key,
    Route,
    Service,
)
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.front.caller import Caller
from geraniumshelf_daemon.front.headers import (
    DEADLINE_HEADER,
    ID_HEADER,
    read_key,
)
from geraniumshelf_daemon.front.interface import CutOffSource, KeySource
from geraniumshelf_daemon.front.routing import (
    RouteTable,
    find_route,
    read_deadline,
)

# Longest wait for a token or a slot for requests without a deadline.
_DEFAULT_WAIT_NS: Nanoseconds = 10 * SECOND_NS
# One tenth of the time until the deadline is reserved for running the request.
_RUN_TIME_DIVISOR = 10


@frozen
class RoutedRequest:
    """A request with a known route and, unless that is open, a valid key.

    Attributes:
        service: Service that the request addresses.
        route: Route of the service that matches the path.
        account: Client account, empty on open routes.
        digest: Digest of the key, empty on open routes.
        secret: The key itself, which is removed from forwarded headers.
        request_id: The request id, empty if there is none.
        deadline: Time by which the caller expects the response, ``None`` if
            the caller set no deadline.
        wait_deadline: Time until which the request may wait for a token or a
            slot.
    """

    service: Service
    route: Route
    account: str
    digest: str
    secret: str
    request_id: str
    deadline: Nanoseconds | None
    wait_deadline: Nanoseconds

    def __repr__(self) -> str:
        return f'RoutedRequest({self.service.name}, {self.account})'


class RequestGate:
    """Checks the route, the deadline and the key of requests."""

    def __init__(
        self,
        keys: KeySource,
        cut_off: CutOffSource,
        clock: Callable[[], Nanoseconds],
    ) -> None:
        self._keys = keys
        self._cut_off = cut_off
        self._clock = clock
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """Return the index of the configuration revision in force."""
        return self._table

    def apply(self, configuration: Configuration) -> None:
        """Build the index of a configuration revision and use it."""
        self._table = RouteTable(configuration)

    def check(self, caller: Caller) -> RoutedRequest:
        """Return the route, account and deadlines of a request.

        Raises:
            RequestRefused: If the request may not run.
        """
        table = self._table
        if table is None:
            raise RequestRefused(
                ResultCode.NOT_READY,
                'the daemon has not received a configuration yet',
                retry_after_s=1,
            )
        now = self._clock()
        service, route = find_route(table, caller.method, caller.target)
        deadline = read_deadline(caller.headers.get(DEADLINE_HEADER), now)
        secret = read_key(caller.headers)
        key = None if route.is_open else self._check_key(table, secret, now)
        return RoutedRequest(
            service,
            route,
            key.account if key else '',
            key.digest if key else '',
            secret,
            caller.headers.get(ID_HEADER, ''),
            deadline,
            _wait_deadline(deadline, now),
        )

    def _check_key(
        self, table: RouteTable, secret: str, now: Nanoseconds
    ) -> Key:
        if not secret:
            raise RequestRefused(
                ResultCode.KEY_MISSING, 'the route requires a key'
            )
        key = self._keys.find(secret)
        account = table.accounts.get(key.account) if key else None
        # The revision in force is checked too, so that new requests with a
        # withdrawn key are refused as soon as running ones are cancelled.
        is_known = key is not None and key.digest in table.keys
        if key is None or account is None or not is_known:
            raise RequestRefused(
                ResultCode.KEY_UNKNOWN, 'the key belongs to no client account'
            )
        self._check_cut_off(account, now)
        return key

    def _check_cut_off(self, account: ClientAccount, now: Nanoseconds) -> None:
        if account.cut_off is CutOffPolicy.SERVE:
            return
        if self._cut_off.is_cut_off(now):
            raise RequestRefused(
                ResultCode.CUT_OFF,
                'this zone cannot receive key withdrawals at present',
                retry_after_s=3,
            )


def _wait_deadline(
    deadline: Nanoseconds | None, now: Nanoseconds
) -> Nanoseconds:
    if deadline is None:
        return now + _DEFAULT_WAIT_NS
    return deadline - (deadline - now) // _RUN_TIME_DIVISOR
