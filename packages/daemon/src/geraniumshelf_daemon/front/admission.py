"""Decides whether a request may run, before a backend server is chosen."""

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

# A caller without a deadline does not wait longer than this for a slot.
_DEFAULT_WAIT: Nanoseconds = 10 * SECOND_NS
# Part of the time left that is kept for running the request.
_RUN_SHARE = 10


@frozen
class RoutedRequest:
    """A request that was understood and whose key is valid.

    Attributes:
        account: Client account, empty on open routes.
        digest: Digest of its key, empty on open routes.
        secret: The key itself, to be removed from what is forwarded.
        request_id: The request id, empty for none.
        deadline: Time by which the caller wants the answer, if any.
        give_up_at: Time until which it may wait for a token or a slot.
    """

    service: Service
    route: Route
    account: str
    digest: str
    secret: str
    request_id: str
    deadline: Nanoseconds | None
    give_up_at: Nanoseconds

    def __repr__(self) -> str:
        return f'RoutedRequest({self.service.name}, {self.account})'


class RequestGate:
    """Checks route, deadline and key of requests."""

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
        """Return the names of the revision in force."""
        return self._table

    def apply(self, configuration: Configuration) -> None:
        """Take over the names of a revision."""
        self._table = RouteTable(configuration)

    def check(self, caller: Caller) -> RoutedRequest:
        """Return the order that a request amounts to.

        Raises:
            RequestRefused: If the request may not run.
        """
        table = self._table
        if table is None:
            raise RequestRefused(
                ResultCode.NOT_READY,
                'no configuration is in force yet',
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
            _give_up_at(deadline, now),
        )

    def _check_key(
        self, table: RouteTable, secret: str, now: Nanoseconds
    ) -> Key:
        if not secret:
            raise RequestRefused(
                ResultCode.KEY_MISSING, 'the route needs a key'
            )
        key = self._keys.find(secret)
        account = table.accounts.get(key.account) if key else None
        # The revision is checked as well, so that a withdrawal holds from
        # the moment it ends the running requests.
        is_known = key is not None and key.digest in table.keys
        if key is None or account is None or not is_known:
            raise RequestRefused(
                ResultCode.KEY_UNKNOWN, 'no client account has this key'
            )
        self._check_cut_off(account, now)
        return key

    def _check_cut_off(self, account: ClientAccount, now: Nanoseconds) -> None:
        if account.cut_off is CutOffPolicy.SERVE:
            return
        if self._cut_off.is_cut_off(now):
            raise RequestRefused(
                ResultCode.CUT_OFF,
                'no withdrawal of a key can reach this zone now',
                retry_after_s=3,
            )


def _give_up_at(deadline: Nanoseconds | None, now: Nanoseconds) -> Nanoseconds:
    if deadline is None:
        return now + _DEFAULT_WAIT
    return deadline - (deadline - now) // _RUN_SHARE
