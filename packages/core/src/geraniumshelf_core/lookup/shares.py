"""Intervals of points that the regions own.

The plan holds the intervals instead of deriving them from the weights: with
three or more regions there is no fixed layout in which each change of weights
moves the minimum share.
"""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from operator import attrgetter

from attrs import frozen

from geraniumshelf_core.units import PARTS_PER_MILLION


@frozen
class Interval:
    """An interval of points that belongs to one region.

    Attributes:
        end: First point after the interval, parts per million.
        region: Region name.
    """

    end: int
    region: str


Shares = tuple[Interval, ...]

_end_of = attrgetter('end')


def initial_shares(weights: Mapping[str, int]) -> Shares:
    """Return intervals for weights in ppm that sum to a million."""
    end = 0
    shares = []
    for region, weight in sorted(weights.items()):
        end += weight
        if weight > 0:
            shares.append(Interval(end, region))
    return tuple(shares)


def share_weights(shares: Shares) -> dict[str, int]:
    """Return the weight of each region in parts per million."""
    weights: dict[str, int] = {}
    start = 0
    for interval in shares:
        width = interval.end - start
        weights[interval.region] = weights.get(interval.region, 0) + width
        start = interval.end
    return weights


def region_at(shares: Shares, point: int) -> str:
    """Return the region that owns a point."""
    return shares[bisect_right(shares, point, key=_end_of)].region


def change_shares(shares: Shares, weights: Mapping[str, int]) -> Shares:
    """Return shares with new weights and move as few points as possible.

    The number of moved points equals the sum of the positive differences of
    weights. A region whose weight falls gives up its smallest intervals first,
    which keeps their number low.

    Args:
        shares: Current intervals.
        weights: New weights in parts per million, with a sum of one million.
    """
    old = share_weights(shares)
    surplus = {
        region: weight - weights.get(region, 0)
        for region, weight in old.items()
        if weight > weights.get(region, 0)
    }
    deficits = [
        (region, weight - old.get(region, 0))
        for region, weight in sorted(weights.items())
        if weight > old.get(region, 0)
    ]
    kept, freed = _release(shares, surplus)
    return _join([*kept, *_assign(freed, deficits)])


def count_moved(shares: Shares, target: Shares) -> int:
    """Return how many points change their region, parts per million."""
    return sum(
        end - start
        for start, end, old, new in _compare(shares, target)
        if old != new
    )


def advance_shares(shares: Shares, target: Shares, limit: int) -> Shares:
    """Return shares moved towards the target by at most ``limit`` points.

    All differing intervals advance by the same fraction, so that the weight of
    each region stays between its weights in both layouts.

    Args:
        shares: Current intervals.
        target: Intervals to reach.
        limit: Maximum points to move, parts per million.
    """
    total = count_moved(shares, target)
    if total <= limit:
        return target
    pieces: list[_Piece] = []
    seen = 0
    for start, end, old, new in _compare(shares, target):
        cut = start
        if old != new:
            moved = seen * limit // total
            seen += end - start
            cut += seen * limit // total - moved
        pieces.extend([(start, cut, new), (cut, end, old)])
    return _join(piece for piece in pieces if piece[0] < piece[1])


# Start, end and region of a piece.
_Piece = tuple[int, int, str]


def _compare(
    shares: Shares, target: Shares
) -> Iterable[tuple[int, int, str, str]]:
    ends = {interval.end for interval in (*shares, *target)}
    start = 0
    for end in sorted(ends):
        yield start, end, region_at(shares, start), region_at(target, start)
        start = end


def _release(
    shares: Shares, surplus: dict[str, int]
) -> tuple[list[_Piece], list[_Piece]]:
    starts = [0, *(interval.end for interval in shares)]
    pieces = [
        (start, interval.end, interval.region)
        for start, interval in zip(starts, shares, strict=False)
    ]
    kept: list[_Piece] = []
    freed: list[_Piece] = []
    for start, end, region in sorted(pieces, key=_width):
        cut = end - min(surplus.get(region, 0), end - start)
        if cut < end:
            surplus[region] -= end - cut
            freed.append((cut, end, region))
        if start < cut:
            kept.append((start, cut, region))
    return kept, freed


def _width(piece: _Piece) -> tuple[int, int]:
    return piece[1] - piece[0], piece[0]


def _assign(
    freed: Iterable[_Piece], deficits: list[tuple[str, int]]
) -> list[_Piece]:
    queue = list(reversed(deficits))
    assigned = []
    for start, end, _ in sorted(freed):
        position = start
        while position < end:
            region, missing = queue.pop()
            cut = min(end, position + missing)
            assigned.append((position, cut, region))
            if position + missing > cut:
                queue.append((region, missing - (cut - position)))
            position = cut
    return assigned


def _join(pieces: Iterable[_Piece]) -> Shares:
    joined: list[Interval] = []
    for _, end, region in sorted(pieces):
        if joined and joined[-1].region == region:
            joined.pop()
        joined.append(Interval(end, region))
    return tuple(joined)


def is_complete(shares: Shares) -> bool:
    """Return whether the intervals are in order and cover all points."""
    ends = [interval.end for interval in shares]
    ascending = all(
        left < right for left, right in zip([0, *ends], ends, strict=False)
    )
    return bool(ends) and ascending and ends[-1] == PARTS_PER_MILLION
