"""Claiming and renewing a slot in the own availability zone."""

from collections.abc import Callable
from random import uniform
from typing import Final

from attrs import define, evolve, field

from geraniumshelf_core.allowance.claims import (
    Claim,
    is_renewal_due,
    may_renew,
    may_use_floor,
)
from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.units import SECOND_NS, Nanoseconds
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.platform.interface import Platform
from geraniumshelf_daemon.replication.interface import ConfigurationSource
from geraniumshelf_daemon.slots.objects import (
    decode_claim,
    object_name,
    read_claim,
    write_claim,
)
from geraniumshelf_daemon.slots.publication import LayoutPublication
from geraniumshelf_daemon.slots.search import SlotSearch
from geraniumshelf_daemon.slots.survey import ClaimSurvey

# A claim that is held is read back once a minute. While no slot is held or
# the claims are not listed yet, the retries are more frequent, so that a
# newly started daemon gets its floor soon.
_CHECK_INTERVAL_NS: Final[Nanoseconds] = 60 * SECOND_NS
_MAX_RETRY_DELAY_NS: Final[Nanoseconds] = 5 * SECOND_NS
_MIN_RETRY_DELAY_NS: Final[Nanoseconds] = SECOND_NS // 4


@define
class _HeldClaim:
    """The claim that this daemon holds.

    Attributes:
        slot: Name of the slot, ``zone/number``.
        version: Version of the stored object.
        claim: Content of the stored object.
        claimed_at: When the first write was confirmed, nanoseconds.
        renewed_at: When the last successful write was sent, nanoseconds.
    """

    slot: str
    version: int
    claim: Claim
    claimed_at: Nanoseconds
    renewed_at: Nanoseconds


@define(eq=False)
class SlotClaims:
    """Claims, renews and releases at most one slot of the own zone."""

    _zone: str
    _own: Claim
    _clock: Callable[[], Nanoseconds]
    _platform: Platform
    _source: ConfigurationSource
    _held_claim: _HeldClaim | None = field(default=None, init=False)
    _is_released: bool = field(default=False, init=False)
    _search: SlotSearch = field(init=False)
    _expiry_logged_for: Nanoseconds | None = field(default=None, init=False)
    _survey: ClaimSurvey = field(init=False)
    _publication: LayoutPublication = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._search = SlotSearch(self._zone, self._own.address, self._platform)
        self._survey = ClaimSurvey(self._platform)
        self._publication = LayoutPublication(self._source)

    @property
    def slot(self) -> str:
        """Return the held slot, ``zone/number``, empty for none."""
        return self._held_claim.slot if self._held_claim else ''

    def usable_slots(self) -> tuple[str, ...]:
        """Return the held slot if its floor may be used now."""
        held = self._held_claim
        if held is None or not may_use_floor(
            held.claimed_at,
            held.renewed_at,
            _hold_time(self._source.configuration),
            self._clock(),
        ):
            return ()
        return (held.slot,)

    def claim_identity(self) -> tuple[str, int]:
        """Return the slot and the time of the claim, which identify it.

        The epoch does not identify a claim, because it starts again at 1
        after a slot was released.
        """
        held = self._held_claim
        return (held.slot, held.claimed_at) if held else ('', 0)

    def differing_claims(self, since: int) -> DifferingClaims | None:
        """Return the claims of other slots that have another layout.

        Args:
            since: First revision with the layout in force.

        Returns:
            ``None`` until the own claim was written with this layout and all
            claims were listed after that write.
        """
        if self._held_claim is None or not self._survey.has_listed(since):
            return None
        return self._survey.differing_claims()

    async def run(self) -> None:
        """Claim a slot and renew the claim until cancelled or released."""
        retry_delay = _MIN_RETRY_DELAY_NS
        while not self._is_released:
            try:
                await self.step()
            except PlatformError as error:
                log_event(Event.PLATFORM_LOST, str(error))
            self._log_expiry()
            period = _CHECK_INTERVAL_NS
            if self._has_pending_work():
                period = round(retry_delay * uniform(1 / 2, 1))
                retry_delay = min(2 * retry_delay, _MAX_RETRY_DELAY_NS)
            else:
                retry_delay = _MIN_RETRY_DELAY_NS
            is_changed = await self._publication.wait_for_change(period)
            if is_changed and self._held_claim is not None:
                await self._publication.wait_jitter()

    async def step(self) -> None:
        """Verify the held claim or claim a slot, then list the claims.

        Raises:
            PlatformError: A call to the platform failed; the held claim
                stays as it was.
        """
        configuration = self._source.configuration
        if configuration is None:
            return
        self._publication.update_layout(configuration)
        if self._held_claim is None:
            await self._claim_slot(configuration)
        else:
            await self._verify_claim(
                self._held_claim, _hold_time(configuration)
            )
        held = self._held_claim
        if held is None:
            return
        if self._survey.has_listed(self._publication.first_revision):
            await self._survey.recheck_one(
                _hold_time(configuration), self._clock()
            )
        elif held.claim.revision >= self._publication.first_revision:
            await self._survey.list_claims(held.slot, held.claim, self._clock())

    async def release(self) -> None:
        """Delete the claim at a graceful stop, which frees the slot.

        Raises:
            PlatformError: The call failed; the claim may still be stored.
        """
        self._is_released = True
        held = self._held_claim
        self._held_claim = None
        if held is not None:
            await self._platform.delete(object_name(held.slot), held.version)
            log_event(Event.SLOT_RELEASED, held.slot)

    def _log_expiry(self) -> None:
        held = self._held_claim
        if held is None or held.claimed_at == self._expiry_logged_for:
            return
        hold_time = _hold_time(self._source.configuration)
        if not may_renew(held.renewed_at, hold_time, self._clock()):
            self._expiry_logged_for = held.claimed_at
            log_event(Event.SLOT_EXPIRED, held.slot)

    def _has_pending_work(self) -> bool:
        """Return whether a slot is to be claimed or claims to be listed."""
        if self._source.configuration is None:
            return False
        is_listed = self._survey.has_listed(self._publication.first_revision)
        return self._held_claim is None or not is_listed

    async def _verify_claim(
        self, held: _HeldClaim, hold_time: Nanoseconds
    ) -> None:
        stored = await read_claim(self._platform, held.slot)
        claim = decode_claim(stored)
        now = self._clock()
        # Other daemons may take over a claim that was not changed for the
        # hold time. An own claim of that age can't be renewed; the slot has
        # to be claimed again.
        is_renewable = may_renew(held.renewed_at, hold_time, now)
        if stored is None or claim is None or not is_renewable:
            self._drop_claim(held)
        elif (claim.incarnation, claim.epoch) == (
            held.claim.incarnation,
            held.claim.epoch,
        ):
            # The stored object may be a renewal whose response was lost. The
            # time of that write is not known, so renewed_at stays.
            current = evolve(held, version=stored.version, claim=claim)
            self._held_claim = current
            await self._renew(current, now)
        else:
            self._drop_claim(held)

    async def _renew(self, held: _HeldClaim, now: Nanoseconds) -> None:
        is_published = held.claim.revision >= self._publication.first_revision
        if is_published and not is_renewal_due(held.renewed_at, now):
            return
        claim = evolve(
            self._publication.with_current_layout(held.claim),
            renewals=held.claim.renewals + 1,
        )
        version = await write_claim(
            self._platform, held.slot, claim, held.version
        )
        if version is not None:
            self._held_claim = evolve(
                held, version=version, claim=claim, renewed_at=now
            )

    def _drop_claim(self, held: _HeldClaim) -> None:
        self._held_claim = None
        log_event(Event.SLOT_LOST, held.slot)

    async def _claim_slot(self, configuration: Configuration) -> None:
        self._survey.clear()
        candidates = await self._search.find_candidates(
            configuration, self._clock()
        )
        for slot, stored in candidates:
            previous_claim = decode_claim(stored)
            epoch = previous_claim.epoch + 1 if previous_claim else 1
            claim = self._publication.with_current_layout(
                evolve(self._own, epoch=epoch)
            )
            sent_at = self._clock()
            version = await write_claim(
                self._platform, slot, claim, stored.version if stored else 0
            )
            if version is not None:
                self._held_claim = _HeldClaim(
                    slot, version, claim, self._clock(), sent_at
                )
                log_event(Event.SLOT_CLAIMED, slot, epoch=epoch)
                return


def _hold_time(configuration: Configuration | None) -> Nanoseconds:
    return configuration.slot_hold_s * SECOND_NS if configuration else 0
