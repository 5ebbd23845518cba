"""Target weights that follow from configuration, drains and failures."""

from collections.abc import Collection, Mapping

from geraniumshelf_core.configuration.model import (
    Configuration,
    TrafficWeight,
)
from geraniumshelf_core.units import PARTS_PER_MILLION

Weights = dict[str, int]


def drained_regions(configuration: Configuration) -> frozenset[str]:
    """Return the regions that are drained, as a whole or in all their zones."""
    drained = set(configuration.drained)
    for region in configuration.regions:
        zones = {
            zone.name
            for zone in configuration.zones
            if zone.region == region.name
        }
        if zones and zones <= drained:
            drained.add(region.name)
    return frozenset(row.name for row in configuration.regions) & drained


def target_weights(
    configuration: Configuration,
    service: str,
    capacities: Mapping[str, int],
    unusable: Collection[str],
) -> dict[str, Weights]:
    """Return the target weights of each source region.

    The share of a destination that is unusable, or has no server of the
    service, is divided among the others in proportion to their weights. If none
    of those is usable, the failover allowances of the source take the place of
    the weights, and the capacities if those don't help either.

    Args:
        configuration: The configuration in force.
        service: Service name.
        capacities: Slots of the service in each region.
        unusable: Drained and failed regions.

    Returns:
        The weights in ppm by source, each with a sum of a million. A source
        that no region can serve is left out.
    """
    usable = {
        region: slots
        for region, slots in capacities.items()
        if slots > 0 and region not in unusable
    }
    targets = {}
    for region in configuration.regions:
        rows = _rows_of(configuration, service, region.name)
        weights = _usable_weights(rows, region.name, usable)
        if weights:
            targets[region.name] = weights
    return targets


def failover_allowances(
    configuration: Configuration, service: str, source: str
) -> tuple[tuple[str, int], ...]:
    """Return the failover allowances of a source, in ppm."""
    return tuple(
        sorted(
            (row.destination, row.failover_ppm)
            for row in _rows_of(configuration, service, source)
            if row.failover_ppm > 0
        )
    )


def scale_weights(amounts: Mapping[str, int]) -> Weights:
    """Scale amounts to a sum of a million by the largest remainder method.

    >>> scale_weights({'a': 1, 'b': 2})
    {'a': 333333, 'b': 666667}
    """
    total = sum(amounts.values())
    if total <= 0:
        return {}
    scaled = {
        region: divmod(amount * PARTS_PER_MILLION, total)
        for region, amount in sorted(amounts.items())
        if amount > 0
    }
    missing = PARTS_PER_MILLION - sum(whole for whole, _ in scaled.values())
    by_remainder = sorted(scaled, key=lambda region: -scaled[region][1])
    raised = set(by_remainder[:missing])
    return {
        region: whole + (region in raised)
        for region, (whole, _) in scaled.items()
    }


def _rows_of(
    configuration: Configuration, service: str, source: str
) -> list[TrafficWeight]:
    return [
        row
        for row in configuration.weights
        if row.service == service and row.source == source
    ]


def _usable_weights(
    rows: list[TrafficWeight], source: str, usable: Mapping[str, int]
) -> Weights:
    intended = {row.destination: row.share_ppm for row in rows}
    failover = {row.destination: row.failover_ppm for row in rows}
    for amounts in (intended or {source: PARTS_PER_MILLION}, failover, usable):
        weights = scale_weights(
            {
                region: amount
                for region, amount in amounts.items()
                if region in usable
            }
        )
        if weights:
            return weights
    return {}
