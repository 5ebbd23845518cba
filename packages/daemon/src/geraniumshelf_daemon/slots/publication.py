"""The layout of slots to publish in the own claim."""

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

# After a change of the layout, each daemon waits a random time before it
# writes its claim and lists all claims. With 25 ms for each slot the platform
# gets 40 writes and 40 listings a second, whatever the size of the fleet.
_JITTER_PER_SLOT_MS: Final = 25


@define(eq=False)
class LayoutPublication:
    """Tracks the layout in force and adds it to claims.

    Attributes:
        first_revision: First configuration revision with this layout.
    """

    _source: ConfigurationSource
    first_revision: int = 0
    _layout: Layout | None = None
    _changed: asyncio.Event = field(factory=asyncio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        self._source.subscribe(self.update_layout)

    def update_layout(self, configuration: Configuration) -> None:
        """Compute the layout of a configuration that came into force."""
        layout = slot_layout(configuration)
        if layout != self._layout:
            self._layout = layout
            self.first_revision = self._source.revision
            self._changed.set()

    def with_current_layout(self, claim: Claim) -> Claim:
        """Return a copy of a claim with the layout and revision in force."""
        digest = layout_digest(self._layout or ())
        return evolve(claim, layout=digest, revision=self._source.revision)

    async def wait_for_change(self, period: Nanoseconds) -> bool:
        """Wait until the layout changes or a period has passed.

        Returns:
            Whether the layout has changed since the last call.
        """
        try:
            async with asyncio.timeout(ns_to_seconds(period)):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    async def wait_jitter(self) -> None:
        """Wait a random time whose maximum grows with the slot count."""
        max_delay = (
            len(self._layout or ()) * _JITTER_PER_SLOT_MS * MILLISECOND_NS
        )
        await asyncio.sleep(uniform(0, ns_to_seconds(max_delay)))
