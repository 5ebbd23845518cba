"""Checks a request of a caller before it is sent anywhere."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.site.model import SiteAccount, SiteRoute
from geraniumshelf_core.site.routing import (
    RoutingTable,
    allowed_regions,
    choose_destination,
    find_route,
    hash_fraction,
    normalize_host,
)
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.edge.interface import CallerFields
from geraniumshelf_daemon.front.caller import Caller

_NO_CONFIGURATION_RETRY_S: Final = 0.5


@frozen
class RoutedRequest:
    """A request that may be sent to a backend server.

    Attributes:
        route: Its route.
        account: Its client account, ``None`` on an open route.
        fields: What it says of itself.
        service: Service that it goes to.
        object_name: Object that it concerns; its own id if it names none.
        regions: Regions that may serve it, ``None`` for all.
        arrived: Time of its arrival.
        deadline: Time at which the caller gets a final answer.
    """

    route: SiteRoute
    account: SiteAccount | None
    fields: CallerFields
    service: str
    object_name: str
    regions: frozenset[str] | None
    arrived: Nanoseconds
    deadline: Nanoseconds

    @property
    def account_name(self) -> str:
        """Return the name of the client account, empty on open routes."""
        return self.account.name if self.account else ''


def check_request(
    table: RoutingTable | None,
    caller: Caller,
    fields: CallerFields,
    now: Nanoseconds,
) -> RoutedRequest:
    """Return the order of a request.

    Raises:
        RequestRefused: If no configuration is known, or it allows no such
            request.
    """
    if table is None:
        raise RequestRefused(
            ResultCode.NOT_READY,
            'no configuration is known yet',
            retry_after_s=_NO_CONFIGURATION_RETRY_S,
        )
    path = caller.target.partition('?')[0]
    host = normalize_host(caller.headers.get('Host', ''))
    route = find_route(table, host, path)
    if route is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE, f'no route for {path} of {host}'
        )
    account = None if route.is_open else _account(table, fields.key)
    _check_length(caller, table.configuration.limits.max_body_bytes)
    allowed = route.timeout
    if fields.timeout is not None:
        allowed = min(allowed, fields.timeout)
    service = choose_destination(
        route.destinations, hash_fraction(fields.request_id)
    ).service
    return RoutedRequest(
        route,
        account,
        fields,
        service,
        fields.object_name or fields.request_id,
        allowed_regions(route, account),
        now,
        now + allowed,
    )


def _account(table: RoutingTable, key: str) -> SiteAccount:
    if not key:
        raise RequestRefused(ResultCode.KEY_MISSING, 'request has no key')
    account = table.accounts.get(key)
    if account is None:
        raise RequestRefused(ResultCode.KEY_UNKNOWN, 'unknown key')
    return account


def _check_length(caller: Caller, largest: int) -> None:
    length = caller.headers.get('Content-Length', '0')
    if length.isdecimal() and int(length) > largest:
        raise RequestRefused(
            ResultCode.BODY_TOO_LARGE, f'body exceeds {largest} bytes'
        )
