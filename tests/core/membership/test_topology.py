"""Tests rendezvous ranking and the topology of links."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.membership.ranking import find_best_ranked, rank_names
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


def _reached(zones: dict[str, str], allowed: set[str]) -> set[str]:
    reached, pending = set(), [min(allowed)]
    while pending:
        name = pending.pop()
        if name in allowed - reached:
            reached.add(name)
            pending.extend(linked_instances(name, zones))
    return reached


@given(_FLEETS)
def test_links_reach_everyone_with_bounded_degree(
    zones: dict[str, str],
) -> None:
    """A daemon without a path to the others would miss withdrawn keys."""
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
    """The loss of an inner daemon must not partition the tree of its zone."""
    lost = data.draw(st.sampled_from(sorted(zones)))
    zone_peers = set(rank_zone_instances(zones[lost], zones)) - {lost}
    assert not zone_peers or _reached(zones, zone_peers) == zone_peers


@given(st.text(max_size=5), st.sets(st.text(max_size=5), min_size=2))
def test_ranking_moves_nothing_but_the_lost_name(
    key: str, names: set[str]
) -> None:
    """An owner must not change because another member left."""
    order = rank_names(key, names)
    assert order[0] == find_best_ranked(key, names)
    assert rank_names(key, names - {order[0]}) == order[1:]


def test_ranking_is_stable_between_releases() -> None:
    """Daemons of different releases must agree on owners."""
    assert rank_names('account/a', ('x', 'y', 'z')) == ('z', 'x', 'y')
