"""Checks and routes a request of a caller."""

from typing import Final

from attrs import frozen

from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.placement.state import PlacementRequest
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
    """A checked request that may be sent to a backend server.

    Attributes:
        route: Route that the request matches.
        account: Client account of its key, ``None`` on an open route.
        fields: Values read from its headers.
        service: Service that it is sent to.
        object_name: Object that it concerns; its request id if it names none.
        regions: Regions that may serve it, ``None`` for all regions.
        arrived_at: Time of its arrival.
        deadline: Time by which the caller gets a final response.
    """

    route: SiteRoute
    account: SiteAccount | None
    fields: CallerFields
    service: str
    object_name: str
    regions: frozenset[str] | None
    arrived_at: Nanoseconds
    deadline: Nanoseconds

    @property
    def account_name(self) -> str:
        """Return the name of the client account, empty on open routes."""
        return self.account.name if self.account else ''

    @property
    def token_priority(self) -> int:
        """Return the priority at which it gets a token, 0 is the highest."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority


def make_placement_request(
    request: RoutedRequest, excluded: frozenset[str]
) -> PlacementRequest:
    """Return what a server is selected for.

    Args:
        request: The request.
        excluded: Names of servers that have already been tried.
    """
    return PlacementRequest(
        request.service, request.object_name, request.regions, excluded
    )


def route_caller(
    table: RoutingTable | None,
    caller: Caller,
    fields: CallerFields,
    now: Nanoseconds,
) -> RoutedRequest:
    """Return the routed request of a caller.

    Raises:
        RequestRefused: If no configuration is loaded, or if it does not allow
            the request.
    """
    if table is None:
        raise RequestRefused(
            ResultCode.NOT_READY,
            'no configuration has been loaded yet',
            retry_after_s=_NO_CONFIGURATION_RETRY_S,
        )
    path = caller.target.partition('?')[0]
    host = normalize_host(caller.headers.get('Host', ''))
    route = find_route(table, host, path)
    if route is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE,
            f'no route matches path {path} of host {host}',
        )
    account = None if route.is_open else _find_account(table, fields.key)
    _check_length(caller, table.configuration.limits.max_body_bytes)
    timeout = route.timeout
    if fields.timeout is not None:
        timeout = min(timeout, fields.timeout)
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
        now + timeout,
    )


def _find_account(table: RoutingTable, key: str) -> SiteAccount:
    if not key:
        raise RequestRefused(ResultCode.KEY_MISSING, 'request has no API key')
    account = table.accounts.get(key)
    if account is None:
        raise RequestRefused(ResultCode.KEY_UNKNOWN, 'unknown API key')
    return account


def _check_length(caller: Caller, max_bytes: int) -> None:
    length = caller.headers.get('Content-Length', '0')
    if length.isdecimal() and int(length) > max_bytes:
        raise RequestRefused(
            ResultCode.BODY_TOO_LARGE,
            f'body of {length} bytes exceeds the limit of {max_bytes} bytes',
        )
