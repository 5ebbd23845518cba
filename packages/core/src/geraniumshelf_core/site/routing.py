"""Lookup of the route, the account and the destination of a request."""

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
    """A configuration, indexed for the look-ups of each request.

    Attributes:
        configuration: Configuration from which the table was built.
        routes: Routes by prefix, for each host.
        accounts: Account by key.
        max_prefix_length: Length of the longest prefix of a route.
    """

    configuration: SiteConfiguration
    routes: Mapping[str, Mapping[str, SiteRoute]]
    accounts: Mapping[str, SiteAccount] = field(repr=False)
    max_prefix_length: int


def build_table(configuration: SiteConfiguration) -> RoutingTable:
    """Return the table of a configuration."""
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

    Prefixes end with a slash, so there is one look-up for each segment of the
    path, whatever the number of routes of the host.
    """
    routes = table.routes.get(host, {})
    end = path.rfind('/', 0, table.max_prefix_length)
    while end >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind('/', 0, end)
    return None


def normalize_host(header: str) -> str:
    """Return a host name in lower case without its port.

    >>> normalize_host('Shop.example:8080')
    'shop.example'
    """
    return header.strip().partition(':')[0].lower()


def hash_fraction(text: str) -> float:
    """Return a hash of a text as a number from 0 to below 1.

    All daemons get the same number for the same text.

    >>> 0 <= hash_fraction('7') < 1
    True
    """
    digest = blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) / _DIGEST_RANGE


def choose_destination(
    destinations: tuple[Destination, ...], fraction: float
) -> Destination:
    """Return the destination at a fraction of the sum of weights.

    Args:
        destinations: One or more destinations, with weights of 0 or more.
        fraction: Number from 0 to below 1.

    >>> shop, mail = Destination('shop', 90), Destination('mail', 10)
    >>> choose_destination((shop, mail), 0.95).service
    'mail'
    """
    remaining = fraction * sum(candidate.weight for candidate in destinations)
    for destination in destinations:
        remaining -= destination.weight
        if remaining < 0:
            return destination
    return destinations[-1]


def allowed_regions(
    route: SiteRoute, account: SiteAccount | None
) -> frozenset[str] | None:
    """Return the regions that may serve a request, ``None`` for all."""
    region_sets = [route.regions] if route.regions else []
    if account is not None and account.regions:
        region_sets.append(account.regions)
    if not region_sets:
        return None
    return region_sets[0].intersection(*region_sets[1:])
