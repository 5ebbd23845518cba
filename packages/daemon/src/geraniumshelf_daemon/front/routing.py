"""Finds the service, the route and the deadline of a request."""

import re
from typing import Final
from urllib.parse import unquote

from attrs import field, frozen

from geraniumshelf_core.configuration.model import (
    ClientAccount,
    Configuration,
    Route,
    Service,
)
from geraniumshelf_core.errors import RequestRefused, ResultCode
from geraniumshelf_core.units import MILLISECOND_NS, Nanoseconds

_DEADLINE_PATTERN: Final = re.compile('[0-9]{1,9}')
# Some servers treat these as separators and would use another path than the
# one that was checked.
_AMBIGUOUS_SEPARATORS: Final = ('//', '\\', '\0')


@frozen
class RouteTable:
    """Index of one configuration revision.

    Attributes:
        configuration: The revision.
        services: Services by name.
        accounts: Client accounts by name.
        keys: Account names by digest of the key.
        zones: Region names by name of the zone.
    """

    configuration: Configuration
    services: dict[str, Service] = field(init=False)
    accounts: dict[str, ClientAccount] = field(init=False)
    keys: dict[str, str] = field(init=False, repr=False)
    zones: dict[str, str] = field(init=False)

    @services.default
    def _index_services(self) -> dict[str, Service]:
        return {
            service.name: service for service in self.configuration.services
        }

    @accounts.default
    def _index_accounts(self) -> dict[str, ClientAccount]:
        return {
            account.name: account for account in self.configuration.accounts
        }

    @keys.default
    def _index_keys(self) -> dict[str, str]:
        return {key.digest: key.account for key in self.configuration.keys}

    @zones.default
    def _index_zones(self) -> dict[str, str]:
        return {zone.name: zone.region for zone in self.configuration.zones}


def find_route(
    table: RouteTable, method: str, target: str
) -> tuple[Service, Route]:
    """Return the service and the route of a request target.

    Raises:
        RequestRefused: If the target is malformed, matches no route, or the
            route doesn't allow the method.
    """
    name, path = _split_target(target)
    service = table.services.get(name)
    if service is None:
        raise RequestRefused(
            ResultCode.UNKNOWN_SERVICE, f'unknown service {name!r}'
        )
    matching = [
        route for route in service.routes if _matches(route.prefix, path)
    ]
    if not matching:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE,
            f'no route of service {name!r} matches the path',
        )
    route = max(matching, key=lambda route: len(route.prefix))
    if method not in route.methods:
        raise RequestRefused(
            ResultCode.METHOD_NOT_ALLOWED,
            f'method {method} not allowed; use {", ".join(route.methods)}',
        )
    return service, route


def read_deadline(text: str | None, now: Nanoseconds) -> Nanoseconds | None:
    """Return the time by which the caller expects a response.

    Raises:
        RequestRefused: If the text isn't a number of milliseconds, or is
            zero.
    """
    if text is None:
        return None
    if not _DEADLINE_PATTERN.fullmatch(text):
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            f'deadline {text!r} is not a number from 1 to 999999999 (ms)',
        )
    if not int(text):
        raise RequestRefused(
            ResultCode.DEADLINE_EXCEEDED,
            'the deadline of the request was 0 ms on arrival',
        )
    return now + int(text) * MILLISECOND_NS


def _split_target(target: str) -> tuple[str, str]:
    path = target.partition('?')[0]
    if not path.startswith('/') or '#' in path:
        raise _malformed(
            'the request target is not an absolute path without a fragment'
        )
    # Some servers percent-decode a path twice.
    decoded = unquote(unquote(path))
    if any(sign in decoded for sign in _AMBIGUOUS_SEPARATORS):
        raise _malformed('the request path contains //, a backslash or NUL')
    segments = decoded.split('/')
    if len(segments) != path.count('/') + 1:
        raise _malformed('the request path contains percent-encoded slashes')
    if '.' in segments or '..' in segments:
        raise _malformed('the request path contains . or .. segments')
    name, _, rest = path[1:].partition('/')
    return name, f'/{rest}'


def _matches(prefix: str, path: str) -> bool:
    base = prefix.rstrip('/')
    return path == base or path.startswith(f'{base}/')


def _malformed(detail: str) -> RequestRefused:
    return RequestRefused(ResultCode.MALFORMED_REQUEST, detail)
