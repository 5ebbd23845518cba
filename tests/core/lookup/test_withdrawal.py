"""Tests the withdrawal of a zone from look-up responses."""

from hypothesis import given, settings
from hypothesis import strategies as st

from geraniumshelf_core.lookup.point import block_point
from geraniumshelf_core.lookup.withdrawal import choose_rotation

_CLIENTS = 2000
_CLIENT_NUMBERS = [
    block_point('s', number.to_bytes(4, 'big'))[1] for number in range(_CLIENTS)
]


def _first_entries(zones: list[str], withdrawn: dict[str, int]) -> list[int]:
    """Return the index of the entry that each client gets first."""
    firsts = []
    for client_number in _CLIENT_NUMBERS:
        order = choose_rotation(zones, withdrawn, client_number)
        kept = [
            index
            for index, zone in enumerate(zones)
            if zone not in order.omitted
        ]
        firsts.append(kept[order.rotation])
    return firsts


@settings(max_examples=15, deadline=None)
@given(
    st.integers(0, 4),
    st.integers(1, 4),
    st.integers(0, 4),
    st.integers(100_000, 400_000),
)
def test_withdrawal_moves_no_more_than_its_points(
    before: int, drained: int, after: int, cap: int
) -> None:
    """A zone that is left out of all responses at once would exceed the cap."""
    zones = ['a'] * before + ['b'] * drained + ['c'] * after
    previous, points = _first_entries(zones, {}), 0
    while points < 1_000_000:
        points = min(1_000_000, points + cap)
        firsts = _first_entries(zones, {'b': points})
        moved = [
            old for old, new in zip(previous, firsts, strict=True) if old != new
        ]
        assert len(moved) <= _CLIENTS * (cap / 1e6 + 0.03)
        assert all(zones[index] == 'b' for index in moved)
        previous = firsts
    others = before + after
    assert others == 0 or all(zones[index] != 'b' for index in previous)
    for index, zone in enumerate(zones):
        if zone != 'b':
            share = previous.count(index) / _CLIENTS
            assert abs(share - 1 / others) < 0.05
