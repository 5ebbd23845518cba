"""Paces request and response bodies on links to other regions."""

import asyncio
from collections.abc import Callable

from attrs import define, field, frozen

from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.dispatch.links.commands import try_send
from geraniumshelf_core.dispatch.links.state import FlowKey, LinkMeter
from geraniumshelf_core.units import (
    PARTS_PER_MILLION,
    Nanoseconds,
    ns_to_seconds,
)

_BYTES_PER_MBIT = 125_000


def full_link_share() -> int:
    """Return the share of a daemon that uses all links alone, in ppm."""
    return PARTS_PER_MILLION


@frozen
class LinkFlow:
    """The traffic of one request on the link to a region.

    Attributes:
        region: The region at the other end; empty for the own region, whose
            traffic isn't paced.
        key: Flow that shares the capacity of the link with other flows.
    """

    region: str
    key: FlowKey


@define
class _LinkMeters:
    outbound: LinkMeter
    inbound: LinkMeter


@define
class LinkPacer:
    """Limits the rate of bodies to this daemon's share of each link.

    Attributes:
        home_region: Region of this daemon.
        clock: Returns the current time, nanoseconds.
        share_ppm: Returns this daemon's share of the links, parts per
            million.
    """

    home_region: str
    clock: Callable[[], Nanoseconds]
    share_ppm: Callable[[], int] = full_link_share
    _meters_by_region: dict[str, _LinkMeters] = field(factory=dict, init=False)

    def apply(self, configuration: Configuration) -> None:
        """Apply the bandwidth of the links of a configuration revision."""
        previous = self._meters_by_region
        self._meters_by_region = {}
        for link in configuration.links:
            if self.home_region not in link.regions:
                continue
            region = link.regions[link.regions[0] == self.home_region]
            share = self.share_ppm() * link.mbit_per_s * _BYTES_PER_MBIT
            rate = max(1, share // PARTS_PER_MILLION)
            meters = previous.get(region) or _LinkMeters(
                LinkMeter(rate), LinkMeter(rate)
            )
            meters.outbound.rate = rate
            meters.inbound.rate = rate
            self._meters_by_region[region] = meters

    async def send(self, link_flow: LinkFlow, size: int) -> None:
        """Wait until a chunk may be sent to the other region."""
        meters = self._meters_by_region.get(link_flow.region)
        if meters is not None:
            await self._wait(meters.outbound, link_flow.key, size)

    async def receive(self, link_flow: LinkFlow, size: int) -> None:
        """Count a chunk from the other region and wait as its pace requires.

        The chunk has already been received; the wait delays the ones that
        follow.
        """
        meters = self._meters_by_region.get(link_flow.region)
        if meters is not None:
            await self._wait(meters.inbound, link_flow.key, size)

    async def _wait(self, meter: LinkMeter, key: FlowKey, size: int) -> None:
        while (delay := try_send(meter, key, size, self.clock())) > 0:
            await asyncio.sleep(ns_to_seconds(delay))
