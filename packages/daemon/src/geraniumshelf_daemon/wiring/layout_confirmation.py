"""Announces to all members which layout of slots is in force here."""

import asyncio
from random import uniform
from typing import Final

from attrs import define, field

from geraniumshelf_core.allowance.floors import Layout, slot_layout
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.replication.interface import ConfigurationSource

# Every member confirms a layout. In a fleet of 4,700 this spreads their entries
# over three minutes, so that they are not sent at the same time.
_MAX_DELAY_PER_MEMBER_S: Final = 0.04


@define(eq=False)
class LayoutConfirmation:
    """Confirms a revision if it changes the layout of slots.

    Shares wait only for confirmations of changed layouts, which are rare. If
    each member confirmed each revision, the messages would exceed the
    bandwidth of the control plane.
    """

    _members: Members
    _source: ConfigurationSource
    _layout: Layout | None = field(default=None, init=False)

    def apply(self, configuration: Configuration) -> None:
        """Confirm a revision after a random delay if its layout differs."""
        layout = slot_layout(configuration)
        if layout == self._layout:
            return
        self._layout = layout
        count = len(self._members.live_members(current_time()))
        delay_s = uniform(0, _MAX_DELAY_PER_MEMBER_S * count)
        asyncio.get_running_loop().call_later(delay_s, self._confirm)

    def _confirm(self) -> None:
        self._members.status.confirmed_revision = self._source.revision
