"""The layout of slots that the own claim has to show."""

import asyncio
from random import uniform
from typing import Final

from attrs import define, evolve, field

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.allowance.floors import Layout, slot_layout
from geraniumshelf_core.allowance.layouts import layout_digest
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.units import (
    MILLISECOND_NS,
    Nanoseconds,
    ns_to_seconds,
)
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# A new layout is written and all claims are listed by each daemon at a random
# time, at 40 calls a second of each kind, whatever the size of the fleet.
_SPREAD_MS: Final = 25


@define(eq=False)
class LayoutPublication:
    """Follows the layout in force.

    Attributes:
        since: First revision with the layout in force.
    """

    _source: ConfigurationSource
    since: int = 0
    _layout: Layout | None = None
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self._source.subscribe(self.follow)

    def follow(self, configuration: Configuration) -> None:
        """Take in the configuration in force."""
        layout = slot_layout(configuration)
        if layout != self._layout:
            self._layout = layout
            self.since = self._source.revision
            self._changed.set()

    def sign(self, claim: Claim) -> Claim:
        """Return a claim with the layout and the revision in force."""
        digest = layout_digest(self._layout or ())
        return evolve(claim, layout=digest, revision=self._source.revision)

    async def wait(self, period: Nanoseconds) -> bool:
        """Wait for a period, or less if the layout changes.

        Returns:
            Whether it has changed since the last wait.
        """
        try:
            async with asyncio.timeout(ns_to_seconds(period)):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    async def take_turn(self) -> None:
        """Wait for a random time, longer with more slots."""
        longest = len(self._layout or ()) * _SPREAD_MS * MILLISECOND_NS
        await asyncio.sleep(uniform(0, ns_to_seconds(longest)))
