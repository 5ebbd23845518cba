"""Tables that find the route and the account of a request."""

from collections.abc import Mapping
from hashlib import blake2b
from typing import Final

from attrs import field, frozen

from geraniumshelf_core.site.model import (
    Destination,
    SiteAccount,
    SiteConfiguration,
    SiteRoute,
)

_DIGEST_BYTES: Final = 8
_BYTE_RANGE: Final = 256
_DIGEST_RANGE: Final = _BYTE_RANGE**_DIGEST_BYTES


@frozen
class RoutingTable:
    """A configuration prepared for one look-up per request.

    Attributes:
        configuration: What the table was made from.
        routes: Routes of each host by prefix.
        accounts: Account by key.
        longest_prefix: Length of the longest prefix of a route.
    """

    configuration: SiteConfiguration
    routes: Mapping[str, Mapping[str, SiteRoute]]
    accounts: Mapping[str, SiteAccount] = field(repr=False)
    longest_prefix: int


def build_table(configuration: SiteConfiguration) -> RoutingTable:
    """Prepare a configuration for look-ups."""
    return RoutingTable(
        configuration,
        {
            host: {route.prefix: route for route in routes}
            for host, routes in configuration.hosts.items()
        },
        {
            key: account
            for account in configuration.accounts.values()
            for key in account.keys
        },
        max(
            (
                len(route.prefix)
                for routes in configuration.hosts.values()
                for route in routes
            ),
            default=0,
        ),
    )


def find_route(table: RoutingTable, host: str, path: str) -> SiteRoute | None:
    """Return the route with the longest prefix, ``None`` if none matches.

    Prefixes end with a slash, so only as many are looked up as the path has
    segments, however many routes a host has.
    """
    routes = table.routes.get(host, {})
    end = path.rfind('/', 0, table.longest_prefix)
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None


def normalize_host(header: str) -> str:
    """Return a host name without its port.

    >>> normalize_host('Shop.example:8080')
    'shop.example'
    """
    return header.strip().partition(':')[0].lower()


def hash_fraction(text: str) -> float:
    """Return a number from 0 to below 1 that all daemons derive alike.

    >>> 0 <= hash_fraction('7') < 1
    True
    """
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) / _DIGEST_RANGE


def choose_destination(
    destinations: tuple[Destination, ...], fraction: float
) -> Destination:
    """Return the destination at a point of the weights.

    Args:
        destinations: At least one, with weights of 0 or more.
        fraction: Point from 0 to below 1.

    >>> shop, mail = Destination('shop', 90), Destination('mail', 10)
    >>> choose_destination((shop, mail), 0.95).service
    'mail'
    """
    left = fraction * sum(one.weight for one in destinations)
    for destination in destinations:
        left -= destination.weight
        if left < 0:
            return destination
    return destinations[-1]


def allowed_regions(
    route: SiteRoute, account: SiteAccount | None
) -> frozenset[str] | None:
    """Return the regions that may serve a request, ``None`` for all."""
    bounds = [route.regions] if route.regions else []
    if account is not None and account.regions:
        bounds.append(account.regions)
    if not bounds:
        return None
    return bounds[0].intersection(*bounds[1:])
