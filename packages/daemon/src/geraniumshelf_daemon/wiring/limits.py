"""Construction of the parts that apply limits and decide about runs."""

import asyncio

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.lookup.answer import EntryInstance
from geraniumshelf_daemon.allowances.service import AllowanceService
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.idempotency.decider import RunDecider
from geraniumshelf_daemon.idempotency.handover import HandoverService
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.slots.claims import SlotClaims
from geraniumshelf_daemon.wiring.control_plane import ControlPlane
from geraniumshelf_daemon.wiring.slot_members import SlotMembers


class Limits:
    """Slot claim, allowances and run records of one daemon."""

    def __init__(self, control: ControlPlane) -> None:
        hello = control.hello
        self._control = control
        self._claims = SlotClaims(
            hello.zone,
            Claim(
                hello.instance, hello.peer_address, hello.incarnation, epoch=0
            ),
            current_time,
            control.platform,
            control.holder,
        )
        self._allowances = AllowanceService(
            hello.instance,
            current_time,
            control.links,
            control.holder,
            SlotMembers(control.members),
            self._claims,
        )
        self._decider = RunDecider(
            hello.instance, control.links, control.entries, current_time
        )
        self._decider.add_issuer(hello.instance, hello.incarnation)
        self._handover = HandoverService(
            hello.instance, control.links, self._decider, current_time
        )

    @property
    def claims(self) -> SlotClaims:
        """Return the slot claim."""
        return self._claims

    @property
    def allowances(self) -> AllowanceService:
        """Return the allowances of client accounts."""
        return self._allowances

    @property
    def decider(self) -> RunDecider:
        """Return the decider about the runs of request ids."""
        return self._decider

    async def run(self) -> None:
        """Hold a slot and exchange allowances until cancelled."""
        await asyncio.gather(self._claims.run(), self._allowances.run())

    async def hand_over(self) -> None:
        """Hand run records to a peer, return all loans and release the slot."""
        await self._decider.reports.wait_for_delivery()
        await self._handover.hand_over(self._handover_candidates())
        self._allowances.return_loans()
        try:
            await self._claims.release()
        except PlatformError as error:
            # The claim stays in the store; the next incarnation at this address
            # takes it over.
            log_event(Event.PLATFORM_LOST, error.detail)

    def _handover_candidates(self) -> tuple[str, ...]:
        """Return linked entries that are not leaving, own zone first."""
        linked = self._control.links.connected_peers()
        entries = [
            entry
            for entry in self._control.entries.entries()
            if entry.instance in linked and not entry.is_leaving
        ]
        entries.sort(key=self._is_in_other_zone)
        return tuple(entry.instance for entry in entries)

    def _is_in_other_zone(self, entry: EntryInstance) -> bool:
        return entry.zone != self._control.hello.zone
