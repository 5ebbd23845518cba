"""The traffic plan of a service and its stored form."""

from collections.abc import Iterable
from typing import Any, Final, NoReturn

import cbor2
from attrs import frozen

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.lookup.shares import (
    Interval,
    Shares,
    is_complete,
    share_weights,
)
from geraniumshelf_core.units import PARTS_PER_MILLION

PLAN_PREFIX: Final = 'plan/'

_FORMAT: Final = 2

# Regions with their allowances in parts per million of the source's traffic.
Failover = tuple[tuple[str, int], ...]


@frozen
class SourcePlan:
    """Destinations of the clients of one region.

    Attributes:
        source: Region of the clients.
        shares: Intervals of points that the destinations own.
        failover: Shares that may go to other regions without a plan step.
    """

    source: str
    shares: Shares
    failover: Failover = ()


@frozen
class Plan:
    """One revision of the traffic plan of a service.

    Attributes:
        service: Service name.
        revision: Number that grows by one with each step.
        proposal_id: Unique name of the proposal that wrote it.
        sources: Plans of the source regions in alphabetical order.
        withdrawn: Points that drained zones have given up within their regions,
            in parts per million, in alphabetical order.
    """

    service: str
    revision: int
    proposal_id: str
    sources: tuple[SourcePlan, ...]
    withdrawn: tuple[tuple[str, int], ...] = ()

    def shares_of(self, source: str) -> Shares:
        """Return the shares of a source; an unknown source serves itself."""
        for plan in self.sources:
            if plan.source == source:
                return plan.shares
        return (Interval(PARTS_PER_MILLION, source),)

    def weights_of(self, source: str) -> dict[str, int]:
        """Return the weights of a source, in parts per million."""
        return share_weights(self.shares_of(source))

    def failover_of(self, source: str) -> dict[str, int]:
        """Return the failover allowances of a source, in ppm."""
        for plan in self.sources:
            if plan.source == source:
                return dict(plan.failover)
        return {}


def plan_name(service: str) -> str:
    """Return the name of the platform object of a service's plan."""
    return f'{PLAN_PREFIX}{service}'


def encode_plan(plan: Plan) -> bytes:
    """Return the canonical CBOR form."""
    sources = [
        [
            source.source,
            [[interval.end, interval.region] for interval in source.shares],
            [list(pair) for pair in source.failover],
        ]
        for source in plan.sources
    ]
    return cbor2.dumps(
        [
            _FORMAT,
            plan.service,
            plan.revision,
            plan.proposal_id,
            sources,
            [list(pair) for pair in plan.withdrawn],
        ],
        canonical=True,
    )


def decode_plan(encoded: bytes) -> Plan:
    """Return the plan that a stored form describes.

    Raises:
        PlatformError: ``PLAN_MALFORMED`` if it is not a plan, or if the shares
            of a source do not add up to a million.
    """
    try:
        row = cbor2.loads(encoded)
    except Exception as error:
        raise _malformed('plan is not CBOR') from error
    fields = _read_row(row, (int, str, int, str, list, list), 'plan')
    if fields[0] != _FORMAT:
        raise _malformed(f'plan has format {fields[0]} instead of {_FORMAT}')
    if fields[2] < 1:
        raise _malformed(f'plan revision {fields[2]} is not positive')
    sources = tuple(_read_source(source) for source in fields[4])
    names = [source.source for source in sources]
    if names != sorted(set(names)):
        raise _malformed(
            'plan sources are not unique and in alphabetical order'
        )
    withdrawn = tuple(_read_pairs(fields[5], (str, int), 'withdrawn'))
    _check_points(withdrawn, 'withdrawn')
    return Plan(fields[1], fields[2], fields[3], sources, withdrawn)


def _read_source(row: object) -> SourcePlan:
    name, shares, failover = _read_row(row, (str, list, list), 'source')
    intervals = tuple(
        Interval(*pair) for pair in _read_pairs(shares, (int, str), name)
    )
    if not is_complete(intervals):
        raise _malformed(f'shares of {name} do not cover a million points')
    allowances = tuple(_read_pairs(failover, (str, int), name))
    _check_points(allowances, f'failover of {name}')
    return SourcePlan(name, intervals, allowances)


def _check_points(pairs: Iterable[tuple[str, int]], name: str) -> None:
    if any(ppm < 0 or ppm > PARTS_PER_MILLION for _, ppm in pairs):
        raise _malformed(f'{name} is not between 0 and a million ppm')


def _read_pairs(
    rows: Iterable[object], types: tuple[type, type], name: str
) -> Iterable[tuple[Any, Any]]:
    for row in rows:
        first, second = _read_row(row, types, name)
        yield first, second


def _read_row(row: object, types: tuple[type, ...], name: str) -> list[Any]:
    if not isinstance(row, list):
        _refuse_row(name)
    if tuple(type(cell) for cell in row) != types:
        _refuse_row(name)
    return row


def _refuse_row(name: str) -> NoReturn:
    raise _malformed(f'wrong number or types of fields in {name}')


def _malformed(detail: str) -> PlatformError:
    return PlatformError(ResultCode.PLAN_MALFORMED, detail)
