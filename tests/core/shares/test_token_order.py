"""Guards the order in which waiting requests get tokens."""

from geraniumshelf_core.shares.token_order import (
    TokenOrder,
    join,
    leave,
    may_overtake,
    next_place,
    record_turn,
)


def _serve(order: TokenOrder) -> int:
    place = next_place(order)
    assert place is not None
    record_turn(order, place)
    leave(order, place)
    return place.priority


def test_more_urgent_requests_come_first_in_order_of_arrival() -> None:
    """Urgent requests of a busy account waited behind others."""
    order = TokenOrder()
    first_low = join(order, 2)
    first_high = join(order, 0)
    join(order, 0)
    assert next_place(order) == first_high
    assert not may_overtake(order, 0)
    leave(order, first_high)
    assert _serve(order) == 0
    assert next_place(order) == first_low
    assert may_overtake(order, 1)


def test_least_urgent_requests_get_every_sixth_token() -> None:
    """Requests of low priority must not starve while urgent ones arrive."""
    order = TokenOrder()
    served = []
    for _ in range(42):
        join(order, 0)
        join(order, 2)
        served.append(_serve(order))
    assert served.count(2) == 7


def test_empty_queue_holds_nobody_up() -> None:
    """A new request may take a token while none waits."""
    order = TokenOrder()
    assert may_overtake(order, 9)
    assert next_place(order) is None
