"""Finds the service, route and account that a request names."""

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

_DEADLINE: Final = re.compile('[0-9]{1,9}')
# A server that reads these as separators sees another path than the one
# that was checked.
_AMBIGUOUS: Final = ('//', '\\', '\0')


@frozen
class RouteTable:
    """Names of one revision, ready for look-up."""

    revision_of: Configuration
    services: dict[str, Service] = field(init=False)
    accounts: dict[str, ClientAccount] = field(init=False)
    keys: dict[str, str] = field(init=False, repr=False)
    zones: dict[str, str] = field(init=False)

    @services.default
    def _index_services(self) -> dict[str, Service]:
        return {one.name: one for one in self.revision_of.services}

    @accounts.default
    def _index_accounts(self) -> dict[str, ClientAccount]:
        return {one.name: one for one in self.revision_of.accounts}

    @keys.default
    def _index_keys(self) -> dict[str, str]:
        return {one.digest: one.account for one in self.revision_of.keys}

    @zones.default
    def _index_zones(self) -> dict[str, str]:
        return {one.name: one.region for one in self.revision_of.zones}


def find_route(
    table: RouteTable, method: str, target: str
) -> tuple[Service, Route]:
    """Return the service and the route of a request target.

    Raises:
        RequestRefused: If the target is malformed, names no route, or the
            route doesn't allow the method.
    """
    name, path = _split_target(target)
    service = table.services.get(name)
    if service is None:
        raise RequestRefused(ResultCode.UNKNOWN_SERVICE, f'no service {name!r}')
    matching = [one for one in service.routes if _matches(one.prefix, path)]
    if not matching:
        raise RequestRefused(
            ResultCode.UNKNOWN_ROUTE, f'no route of {name} for this path'
        )
    route = max(matching, key=lambda one: len(one.prefix))
    if method not in route.methods:
        raise RequestRefused(
            ResultCode.METHOD_NOT_ALLOWED,
            f'{method} is not among {", ".join(route.methods)}',
        )
    return service, route


def read_deadline(text: str | None, now: Nanoseconds) -> Nanoseconds | None:
    """Return the time by which the caller wants an answer.

    Raises:
        RequestRefused: If the text isn't a number of milliseconds, or none
            are left.
    """
    if text is None:
        return None
    if not _DEADLINE.fullmatch(text):
        raise RequestRefused(
            ResultCode.MALFORMED_REQUEST,
            'deadline must be 1 to 999999999 milliseconds',
        )
    if not int(text):
        raise RequestRefused(
            ResultCode.DEADLINE_EXCEEDED, 'no time left on arrival'
        )
    return now + int(text) * MILLISECOND_NS


def _split_target(target: str) -> tuple[str, str]:
    path = target.partition('?')[0]
    if not path.startswith('/') or '#' in path:
        raise _malformed('request target is not a path')
    # Some servers decode a path twice.
    decoded = unquote(unquote(path))
    if any(sign in decoded for sign in _AMBIGUOUS):
        raise _malformed('request path is ambiguous')
    segments = decoded.split('/')
    if len(segments) != path.count('/') + 1:
        raise _malformed('request path has encoded separators')
    if '.' in segments or '..' in segments:
        raise _malformed('request path has dot segments')
    name, _, rest = path[1:].partition('/')
    return name, f'/{rest}'


def _matches(prefix: str, path: str) -> bool:
    base = prefix.rstrip('/')
    return path == base or path.startswith(f'{base}/')


def _malformed(detail: str) -> RequestRefused:
    return RequestRefused(ResultCode.MALFORMED_REQUEST, detail)
