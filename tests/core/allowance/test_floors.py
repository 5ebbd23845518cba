"""Guards the sum of the floors, the layouts in force and the owners."""

from hypothesis import given
from hypothesis import strategies as st

from geraniumshelf_core.allowance.bucket import Bucket
from geraniumshelf_core.allowance.floors import (
    Floor,
    slot_floor,
)
from geraniumshelf_core.allowance.layouts import (
    SETTLING_TIME_NS,
    DifferingClaims,
    LayoutHistory,
)
from geraniumshelf_core.allowance.owners import account_owner, account_tags
from geraniumshelf_core.units import MICROS_PER_UNIT

NINE_SLOTS = tuple(f'a/{number}' for number in range(9))
sizes = st.integers(1, 12)


@given(
    rate=st.integers(0, 10**6),
    burst=st.integers(0, 10**6),
    layout_sizes=st.lists(sizes, min_size=1, max_size=3),
)
def test_floors_sum_to_at_most_the_total(
    rate: int, burst: int, layout_sizes: list[int]
) -> None:
    """Rounding up a single floor would exceed the fleet-wide limit."""
    layouts = [
        tuple(f'a/{number}' for number in range(size)) for size in layout_sizes
    ]
    floors = [slot_floor(rate, burst, slot, layouts) for slot in layouts[0]]
    assert sum(floor.rate for floor in floors) <= rate * MICROS_PER_UNIT
    assert sum(floor.capacity for floor in floors) <= burst * MICROS_PER_UNIT
    if len(set(layouts)) == 1:
        assert sum(floor.rate for floor in floors) == rate * MICROS_PER_UNIT


def test_small_totals_reach_every_slot() -> None:
    """With floors in whole tokens, some slots get none of a rate of 5."""
    floors = [slot_floor(5, 12, slot, [NINE_SLOTS]) for slot in NINE_SLOTS]
    assert min(floor.rate for floor in floors) == 555_555
    assert min(floor.capacity for floor in floors) == 1_333_333


def test_larger_share_waits_for_confirmation_and_loans() -> None:
    """A share of a former layout may be in use, or on loan for a term."""
    history = LayoutHistory()
    history.add(3, NINE_SLOTS)
    history.record_adoption(None, {}, 0)
    history.record_adoption(DifferingClaims({'a/0': 2}, 0), {'a/0': 2}, 0)
    assert history.in_force(SETTLING_TIME_NS) == ()
    assert slot_floor(5, 5, 'a/0', ()) == Floor()
    history.record_adoption(DifferingClaims({'a/0': 2}, 0), {'a/0': 3}, 0)
    history.add(5, NINE_SLOTS[:3])
    assert history.in_force(SETTLING_TIME_NS) == (NINE_SLOTS, NINE_SLOTS[:3])
    for confirmed in ({'a/0': 4}, {'a/0': 6}, {}):
        history.record_adoption(DifferingClaims({'a/0': 3}, 0), confirmed, 0)
    history.record_adoption(DifferingClaims({'a/0': 6}, 0), {'a/0': 5}, 0)
    history.record_adoption(
        DifferingClaims({'a/0': 3}, 0), {'a/0': 5}, SETTLING_TIME_NS
    )
    assert history.in_force(2 * SETTLING_TIME_NS - 1) == (
        NINE_SLOTS,
        NINE_SLOTS[:3],
    )
    assert history.in_force(2 * SETTLING_TIME_NS) == (NINE_SLOTS[:3],)
    history.restart()
    assert history.in_force(9 * SETTLING_TIME_NS) == ()


@given(st.lists(st.integers(0, 10**10), max_size=20), st.integers(1, 10**9))
def test_refill_does_not_depend_on_steps(steps: list[int], rate: int) -> None:
    """Small rates would never refill if each refill dropped its remainder."""
    whole = Bucket(rate, 10**18)
    stepped = Bucket(rate, 10**18)
    for step in steps:
        stepped.refill(stepped.updated_at + step)
    whole.refill(sum(steps))
    assert stepped == whole


def test_owner_stays_when_others_leave() -> None:
    """Each change of owner requires new loans of all floors."""
    names = [f'n{number}' for number in range(9)]
    owner = account_owner('vendor', names)
    assert account_owner('vendor', [owner or '', names[0]]) == owner
    assert account_owner('vendor', []) is None
    assert set(account_tags(names).values()) == set(names)
