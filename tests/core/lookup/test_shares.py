"""Tests that changes of weights move no more points than necessary."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.lookup.answer import (
    EntryInstance,
    order_entries,
)
from geraniumshelf_core.lookup.point import block_point
from geraniumshelf_core.lookup.shares import (
    advance_shares,
    change_shares,
    count_moved,
    initial_shares,
    is_complete,
    region_at,
    share_weights,
)
from geraniumshelf_core.units import PARTS_PER_MILLION

_REGIONS = 'abcde'


@st.composite
def _weights(draw: st.DrawFn) -> dict[str, int]:
    # With weights in multiples of 1000 ppm, each point of the grid below stands
    # for the 1000 points from it.
    cuts = sorted(draw(st.lists(st.integers(0, 1000), min_size=4, max_size=4)))
    ends = [*cuts, 1000]
    starts = [0, *cuts]
    widths = [end - start for start, end in zip(starts, ends, strict=True)]
    order = draw(st.permutations(_REGIONS))
    return {
        region: width * 1000
        for region, width in zip(order, widths, strict=True)
        if width
    }


@given(st.lists(_weights(), min_size=2, max_size=8))
def test_change_moves_exactly_the_difference(history) -> None:
    """Points that move needlessly would exceed the cap on moved traffic."""
    shares = initial_shares(history[0])
    grid = range(0, PARTS_PER_MILLION, 1000)
    for weights in history[1:]:
        old = share_weights(shares)
        changed = change_shares(shares, weights)
        moved = sum(
            region_at(shares, point) != region_at(changed, point)
            for point in grid
        )
        grown = sum(
            max(0, weight - old.get(region, 0))
            for region, weight in weights.items()
        )
        assert moved * 1000 == grown
        assert share_weights(changed) == weights
        assert is_complete(changed)
        shares = changed


@given(_weights(), _weights(), st.integers(20_000, 400_000))
def test_advance_keeps_its_limit_and_reaches_the_target(
    start, end, limit
) -> None:
    """No region may get more during the transition than before or after it."""
    shares, target = initial_shares(start), initial_shares(end)
    for _ in range(-(-count_moved(shares, target) // limit)):
        bounds = share_weights(shares), share_weights(target)
        advanced = advance_shares(shares, target, limit)
        assert count_moved(shares, advanced) <= limit
        assert is_complete(advanced)
        for region, weight in share_weights(advanced).items():
            end_weights = [weights.get(region, 0) for weights in bounds]
            # A region has a few intervals, each rounded by up to one point.
            assert min(end_weights) - 9 <= weight <= max(end_weights) + 9
        shares = advanced
    assert shares == target


def test_intervals_do_not_multiply_without_bound() -> None:
    """Repeated changes back and forth must not fragment the intervals."""
    first = {'a': 400_000, 'b': 300_000, 'c': 300_000}
    second = {'a': 333_333, 'b': 333_334, 'c': 333_333}
    shares = initial_shares(first)
    for _ in range(200):
        shares = change_shares(change_shares(shares, second), first)
    assert len(shares) < 20


def test_points_spread_evenly_and_by_service() -> None:
    """A biased hash would move more or fewer clients than the plan states."""
    points = [
        block_point('drafts', number.to_bytes(4, 'big'))
        for number in range(20_000)
    ]
    below = sum(point < 250_000 for point, _ in points)
    both = sum(
        point < 250_000 and not rotation % 4 for point, rotation in points
    )
    assert abs(below - 5000) < 250
    assert abs(both - 1250) < 150
    assert block_point('scans', b'1') != block_point('drafts', b'1')


@given(
    st.lists(
        st.builds(
            EntryInstance,
            instance=st.integers(0, 99).map(str),
            zone=st.just('z'),
            region=st.sampled_from(_REGIONS),
            caller_address=st.just('127.0.0.1:1'),
            request_id_prefix=st.just('p'),
            is_leaving=st.booleans(),
        ),
        max_size=20,
        unique_by=lambda entry: entry.instance,
    ),
    st.integers(0, 2**32 - 1),
)
def test_order_prefers_destination_and_omits_leaving(entries, rotation) -> None:
    """A request to a leaving instance could be interrupted."""
    ordered = order_entries(entries, 'a', 'b', rotation)
    ranks = [{'a': 0, 'b': 1}.get(entry.region, 2) for entry in ordered]
    assert ranks == sorted(ranks)
    assert not any(entry.is_leaving for entry in ordered)
    assert len(set(ordered)) == len(ordered)
    live = [entry for entry in entries if not entry.is_leaving]
    assert bool(ordered) == bool(live)


def test_rotation_spreads_first_place() -> None:
    """An instance that comes first in all responses would get all traffic."""
    entries = [
        EntryInstance(str(number), 'z', 'a', f'{number}', 'p')
        for number in range(3)
    ]
    firsts = {
        order_entries(entries, 'a', 'a', rotation)[0] for rotation in range(3)
    }
    assert firsts == set(entries)
