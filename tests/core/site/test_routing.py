"""Tests routes, weights and allowed regions of a site."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.site.model import (
    CallerLimits,
    Destination,
    Repeatability,
    SiteAccount,
    SiteConfiguration,
    SiteRoute,
)
from geraniumshelf_core.site.routing import (
    allowed_regions,
    build_table,
    choose_destination,
    find_route,
    hash_fraction,
    normalize_host,
)
from geraniumshelf_core.units import SECOND_NS


def make_route(prefix: str, **fields: object) -> SiteRoute:
    return SiteRoute(
        prefix,
        prefix,
        Repeatability.IDEMPOTENT,
        SECOND_NS,
        SECOND_NS,
        2,
        1,
        (Destination('desk', 1),),
        **fields,  # type: ignore[arg-type]
    )


def test_longest_prefix_wins() -> None:
    """A request must not be sent to the service of a shorter prefix."""
    configuration = SiteConfiguration(
        1,
        {'shop.example': (make_route('/a/'), make_route('/a/b/'))},
        {},
        {},
        CallerLimits(1, 1, 1),
    )
    table = build_table(configuration)
    found = find_route(table, 'shop.example', '/a/b/c')
    assert found is not None
    assert found.prefix == '/a/b/'
    assert find_route(table, 'shop.example', '/b/') is None
    assert find_route(table, 'other.example', '/a/') is None


_SEGMENTS = st.lists(st.sampled_from(('a', 'b', 'ab', '')), max_size=4)
_PREFIXES = _SEGMENTS.map(lambda parts: '/'.join(('', *parts, '')))


@given(st.sets(_PREFIXES, max_size=8), _SEGMENTS)
def test_route_is_the_one_that_a_search_of_all_finds(
    prefixes: set[str], segments: list[str]
) -> None:
    """A look-up by segments must not miss a prefix of the path."""
    path = '/'.join(('', *segments))
    configuration = SiteConfiguration(
        1,
        {'shop.example': tuple(map(make_route, sorted(prefixes)))},
        {},
        {},
        CallerLimits(1, 1, 1),
    )
    found = find_route(build_table(configuration), 'shop.example', path)
    matching = filter(path.startswith, prefixes)
    longest = max(matching, key=len, default=None)
    assert (found.prefix if found else None) == longest


def test_host_is_compared_without_port_and_case() -> None:
    """Callers may send the host with a port and in any letter case."""
    assert normalize_host(' Shop.Example:80') == 'shop.example'


def test_weights_are_kept() -> None:
    """Each destination of a split must get its share of the requests."""
    destinations = (Destination('a', 90), Destination('b', 10))
    counts = Counter(
        choose_destination(
            destinations, hash_fraction(f'request {number}')
        ).service
        for number in range(5000)
    )
    assert 0.08 < counts['b'] / 5000 < 0.12


def test_regions_of_route_and_account_both_apply() -> None:
    """Either list alone would allow regions that the other forbids."""
    account = SiteAccount('shop', ('k',), regions=frozenset({'a', 'b'}))
    route = make_route('/a/', regions=frozenset({'b', 'c'}))
    assert allowed_regions(route, account) == {'b'}
    assert allowed_regions(make_route('/a/'), None) is None
