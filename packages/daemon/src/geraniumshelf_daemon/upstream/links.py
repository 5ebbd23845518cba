"""Paces bodies on links to other regions."""

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
    """Return the share of a daemon that has all links for itself."""
    return PARTS_PER_MILLION


@frozen
class LinkFlow:
    """A request on its way to another region.

    Attributes:
        region: The other region; empty for the own one, which isn't paced.
        flow: Whose traffic it is.
    """

    region: str
    flow: FlowKey


@define
class _Ways:
    out: LinkMeter
    back: LinkMeter


@define
class LinkPacer:
    """Keeps bodies within this daemon's share of each link.

    Attributes:
        home: Region of this daemon.
        clock: Returns the current time, nanoseconds.
        share_ppm: Returns this daemon's share of the links, parts per
            million.
    """

    home: str
    clock: Callable[[], Nanoseconds]
    share_ppm: Callable[[], int] = full_link_share
    _ways: dict[str, _Ways] = field(factory=dict, init=False)

    def apply(self, configuration: Configuration) -> None:
        """Take over the bandwidth of the links of a revision."""
        known = self._ways
        self._ways = {}
        for link in configuration.links:
            if self.home not in link.regions:
                continue
            region = link.regions[link.regions[0] == self.home]
            share = self.share_ppm() * link.mbit_per_s * _BYTES_PER_MBIT
            rate = max(1, share // PARTS_PER_MILLION)
            ways = known.get(region) or _Ways(LinkMeter(rate), LinkMeter(rate))
            ways.out.rate = rate
            ways.back.rate = rate
            self._ways[region] = ways

    async def send(self, link_flow: LinkFlow, size: int) -> None:
        """Wait until a chunk may go to the other region."""
        ways = self._ways.get(link_flow.region)
        if ways is not None:
            await self._wait(ways.out, link_flow.flow, size)

    async def receive(self, link_flow: LinkFlow, size: int) -> None:
        """Wait until a chunk may come from the other region.

        It has come already; waiting holds back the ones that follow.
        """
        ways = self._ways.get(link_flow.region)
        if ways is not None:
            await self._wait(ways.back, link_flow.flow, size)

    async def _wait(self, meter: LinkMeter, flow: FlowKey, size: int) -> None:
        while (delay := try_send(meter, flow, size, self.clock())) > 0:
            await asyncio.sleep(ns_to_seconds(delay))
