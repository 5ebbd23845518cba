"""Claims a slot of the own availability zone on the platform."""

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

# One read of an own claim a minute; a claim that is missing is sought more
# often, so that a started daemon gets its floor soon.
_CHECK_PERIOD: Final[Nanoseconds] = 60 * SECOND_NS
_SEARCH_PERIOD: Final[Nanoseconds] = 5 * SECOND_NS
_FIRST_RETRY: Final[Nanoseconds] = SECOND_NS // 4


@define
class _Held:
    """The claim that is held.

    Attributes:
        slot: ``zone/number``.
        version: Version of the object.
        claim: Its content.
        claimed_at: When it was known to be in place, nanoseconds.
        renewed_at: When the last successful write was sent, nanoseconds.
    """

    slot: str
    version: int
    claim: Claim
    claimed_at: Nanoseconds
    renewed_at: Nanoseconds


@define(eq=False)
class SlotClaims:
    """Holds at most one slot of the own zone."""

    _zone: str
    _own: Claim
    _clock: Callable[[], Nanoseconds]
    _platform: Platform
    _source: ConfigurationSource
    _held: _Held | None = field(default=None, init=False)
    _is_released: bool = field(default=False, init=False)
    _search: SlotSearch = field(init=False)
    _expired_claim: Nanoseconds | None = field(default=None, init=False)
    _survey: ClaimSurvey = field(init=False)
    _publication: LayoutPublication = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._search = SlotSearch(self._zone, self._own.address, self._platform)
        self._survey = ClaimSurvey(self._platform)
        self._publication = LayoutPublication(self._source)

    @property
    def slot(self) -> str:
        """Return the slot held, ``zone/number``, or an empty string."""
        return self._held.slot if self._held else ''

    def usable_slots(self) -> tuple[str, ...]:
        """Return the slot if its floor may be used now."""
        held = self._held
        if held is None or not may_use_floor(
            held.claimed_at,
            held.renewed_at,
            _hold_time(self._source.configuration),
            self._clock(),
        ):
            return ()
        return (held.slot,)

    def claim_identity(self) -> tuple[str, int]:
        """Return what changes with each claim: the slot and its time.

        The epoch starts again after a slot was freed.
        """
        held = self._held
        return (held.slot, held.claimed_at) if held else ('', 0)

    def differing_claims(self, since: int) -> DifferingClaims | None:
        """Return the claims that show another layout.

        Returns:
            ``None`` before the own claim has shown the layout in force since
            that revision and all claims were listed after it.
        """
        if self._held is None or not self._survey.is_done(since):
            return None
        return self._survey.differing_claims()

    async def run(self) -> None:
        """Claim and renew until cancelled or released."""
        retry = _FIRST_RETRY
        while not self._is_released:
            try:
                await self.step()
            except PlatformError as error:
                log_event(Event.PLATFORM_LOST, str(error))
            self._note_expiry()
            period = _CHECK_PERIOD
            if self._is_pending():
                period = round(retry * uniform(1 / 2, 1))
                retry = min(2 * retry, _SEARCH_PERIOD)
            else:
                retry = _FIRST_RETRY
            is_changed = await self._publication.wait(period)
            if is_changed and self._held is not None:
                await self._publication.take_turn()

    async def step(self) -> None:
        """Check the claim that is held, or seek one; then list claims.

        Raises:
            PlatformError: The platform failed; the claim stays as it was.
        """
        configuration = self._source.configuration
        if configuration is None:
            return
        self._publication.follow(configuration)
        if self._held is None:
            await self._seek(configuration)
        else:
            await self._check(self._held, _hold_time(configuration))
        held = self._held
        if held is None:
            return
        if self._survey.is_done(self._publication.since):
            await self._survey.recheck(_hold_time(configuration), self._clock())
        elif held.claim.revision >= self._publication.since:
            await self._survey.take(held.slot, held.claim, self._clock())

    async def release(self) -> None:
        """Free the slot at a graceful stop.

        Raises:
            PlatformError: The claim may still be in place.
        """
        self._is_released = True
        held = self._held
        self._held = None
        if held is not None:
            await self._platform.delete(object_name(held.slot), held.version)
            log_event(Event.SLOT_RELEASED, held.slot)

    def _note_expiry(self) -> None:
        held = self._held
        if held is None or held.claimed_at == self._expired_claim:
            return
        hold_time = _hold_time(self._source.configuration)
        if not may_renew(held.renewed_at, hold_time, self._clock()):
            self._expired_claim = held.claimed_at
            log_event(Event.SLOT_EXPIRED, held.slot)

    def _is_pending(self) -> bool:
        """Tell whether a claim or a listing is still to be made."""
        if self._source.configuration is None:
            return False
        is_listed = self._survey.is_done(self._publication.since)
        return self._held is None or not is_listed

    async def _check(self, held: _Held, hold_time: Nanoseconds) -> None:
        stored = await read_claim(self._platform, held.slot)
        claim = decode_claim(stored)
        now = self._clock()
        # Others may count on it that a claim left unchanged for the hold time
        # is no longer in use, so it must be made anew.
        is_kept = may_renew(held.renewed_at, hold_time, now)
        if stored is None or claim is None or not is_kept:
            self._lose(held)
        elif (claim.incarnation, claim.epoch) == (
            held.claim.incarnation,
            held.claim.epoch,
        ):
            # It may be a renewal whose answer was lost; its time is not
            # known, so the former one stays in force.
            adopted = evolve(held, version=stored.version, claim=claim)
            self._held = adopted
            await self._renew(adopted, now)
        else:
            self._lose(held)

    async def _renew(self, held: _Held, now: Nanoseconds) -> None:
        is_shown = held.claim.revision >= self._publication.since
        if is_shown and not is_renewal_due(held.renewed_at, now):
            return
        claim = evolve(
            self._publication.sign(held.claim),
            renewals=held.claim.renewals + 1,
        )
        version = await write_claim(
            self._platform, held.slot, claim, held.version
        )
        if version is not None:
            self._held = evolve(
                held, version=version, claim=claim, renewed_at=now
            )

    def _lose(self, held: _Held) -> None:
        self._held = None
        log_event(Event.SLOT_LOST, held.slot)

    async def _seek(self, configuration: Configuration) -> None:
        self._survey.clear()
        candidates = await self._search.candidates(configuration, self._clock())
        for slot, stored in candidates:
            before = decode_claim(stored)
            epoch = before.epoch + 1 if before else 1
            claim = self._publication.sign(evolve(self._own, epoch=epoch))
            sent_at = self._clock()
            version = await write_claim(
                self._platform, slot, claim, stored.version if stored else 0
            )
            if version is not None:
                self._held = _Held(slot, version, claim, self._clock(), sent_at)
                log_event(Event.SLOT_CLAIMED, slot, epoch=epoch)
                return


def _hold_time(configuration: Configuration | None) -> Nanoseconds:
    return configuration.slot_hold_s * SECOND_NS if configuration else 0
