"""Guards ranking and the choice of links."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.membership.ranking import best_ranked, ranked
from geraniumshelf_core.membership.topology import (
    linked_instances,
    rank_zone_instances,
)

_FLEETS = st.lists(st.integers(1, 40), min_size=1, max_size=24).map(
    lambda sizes: {
        f'i{zone}-{number}': f'z{zone}'
        for zone, size in enumerate(sizes)
        for number in range(size)
    }
)


def _reached(zones: dict[str, str], among: set[str]) -> set[str]:
    reached, waiting = set(), [min(among)]
    while waiting:
        name = waiting.pop()
        if name in among - reached:
            reached.add(name)
            waiting.extend(linked_instances(name, zones))
    return reached


@given(_FLEETS)
def test_links_reach_everyone_with_bounded_degree(
    zones: dict[str, str],
) -> None:
    """A separated daemon would never learn of a revoked key."""
    assert _reached(zones, set(zones)) == set(zones)
    zone_links = 2 * len(set(zones.values())).bit_length()
    for name in zones:
        links = linked_instances(name, zones)
        assert len(links) <= max(15, 11 + 2 * zone_links)
        assert name not in links


@given(_FLEETS, st.data())
def test_one_loss_in_a_zone_separates_nobody(
    zones: dict[str, str], data: st.DataObject
) -> None:
    """The loss of an inner daemon must not hold up its zone."""
    lost = data.draw(st.sampled_from(sorted(zones)))
    mates = set(rank_zone_instances(zones[lost], zones)) - {lost}
    assert not mates or _reached(zones, mates) == mates


@given(st.text(max_size=5), st.sets(st.text(max_size=5), min_size=2))
def test_ranking_moves_nothing_but_the_lost_name(
    key: str, names: set[str]
) -> None:
    """Owners must not change because another member left."""
    order = ranked(key, names)
    assert order[0] == best_ranked(key, names)
    assert ranked(key, names - {order[0]}) == order[1:]


def test_ranking_is_stable_between_releases() -> None:
    """Daemons of two releases must agree on owners."""
    assert ranked('account/a', ('x', 'y', 'z')) == ('z', 'x', 'y')
