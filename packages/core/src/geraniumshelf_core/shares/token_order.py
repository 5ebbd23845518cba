"""Order in which waiting requests of an account get tokens."""

from bisect import insort
from typing import Final

from attrs import define, field, frozen

# While less urgent requests wait, every sixth token goes to the least urgent
# ones. A kind of request that makes up two thirds of all is then served at
# least a quarter as often as all. With every fourth token, requests of low
# priority, which may wait for longer, were served more often than others.
_LEAST_URGENT_INTERVAL: Final = 6


@frozen(order=True)
class TokenPlace:
    """Place of a waiting request.

    Attributes:
        priority: Priority of the request, 0 is the highest.
        number: Number of requests of the account that began to wait before.
    """

    priority: int
    number: int


@define
class TokenOrder:
    """Waiting requests of one account.

    Attributes:
        places: Their places, the most urgent first.
        numbered: Number of requests that have begun to wait.
        passed: Tokens taken since the least urgent requests had their turn.
    """

    places: list[TokenPlace] = field(factory=list)
    numbered: int = 0
    passed: int = 0


def join(order: TokenOrder, priority: int) -> TokenPlace:
    """Add a request that begins to wait; return its place."""
    place = TokenPlace(priority, order.numbered)
    order.numbered += 1
    insort(order.places, place)
    return place


def leave(order: TokenOrder, place: TokenPlace) -> None:
    """Remove a request that no longer waits."""
    order.places.remove(place)


def next_place(order: TokenOrder) -> TokenPlace | None:
    """Return the place of the request that gets the next token, if any."""
    if not order.places:
        return None
    if order.passed < _LEAST_URGENT_INTERVAL - 1:
        return order.places[0]
    least_urgent = order.places[-1].priority
    return next(
        place for place in order.places if place.priority == least_urgent
    )


def may_overtake(order: TokenOrder, priority: int) -> bool:
    """Return whether a new request may take a token before those that wait."""
    return not order.places or priority < order.places[0].priority


def record_turn(order: TokenOrder, place: TokenPlace) -> None:
    """Record that a waiting request has taken a token."""
    if place.priority < order.places[-1].priority:
        order.passed += 1
    else:
        order.passed = 0
