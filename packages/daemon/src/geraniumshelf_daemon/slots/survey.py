"""Claims of other slots whose layout differs from the own claim."""

from attrs import Factory, define, frozen

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.slots.objects import (
    CLAIM_PREFIX,
    decode_claim,
    object_name,
    read_claim,
)


@frozen
class _DifferingClaim:
    """A claim with another layout.

    Attributes:
        version: Version of the stored object.
        revision: Configuration revision in the claim, 0 if it is unreadable.
        first_read_at: When this version was first read, nanoseconds.
    """

    version: int
    revision: int
    first_read_at: Nanoseconds


@define(eq=False)
class ClaimSurvey:
    """Lists all claims once after the own claim was written with a layout.

    Of two daemons with different layouts, both write their claims before they
    list, so at least one of them reads the claim of the other.
    """

    _platform: Platform
    _layout: str = ''
    _revision: int = 0
    _differing: dict[str, _DifferingClaim] = Factory(dict)

    def has_listed(self, revision: int) -> bool:
        """Return whether claims were listed for this or a later revision."""
        return self._revision >= max(1, revision)

    def differing_claims(self) -> DifferingClaims:
        """Return the claims with another layout."""
        revisions = {
            slot: seen.revision for slot, seen in self._differing.items()
        }
        read_at = max(
            (seen.first_read_at for seen in self._differing.values()), default=0
        )
        return DifferingClaims(revisions, read_at)

    def clear(self) -> None:
        """Discard the listing, so that a new one is needed."""
        self._revision = 0
        self._differing.clear()

    async def list_claims(
        self, slot: str, claim: Claim, now: Nanoseconds
    ) -> None:
        """List all claims and record those with another layout.

        Args:
            slot: Own slot, ``zone/number``.
            claim: Own claim as it is stored.
            now: Current time, nanoseconds.

        Raises:
            PlatformError: The claims could not be listed; nothing changed.
        """
        snapshot = await self._platform.list_objects(CLAIM_PREFIX)
        self._layout = claim.layout
        self._differing.clear()
        for stored in snapshot.objects:
            if stored.name != object_name(slot):
                self._record(
                    stored.name.removeprefix(CLAIM_PREFIX), stored, now
                )
        self._revision = claim.revision

    async def recheck_one(
        self, hold_time: Nanoseconds, now: Nanoseconds
    ) -> None:
        """Read one of the differing claims again, in rotation.

        A claim that did not change for the hold time is no longer in use.
        With one read for each check, 4,700 daemons make 78 reads a second
        while the holders of many claims are cut off.

        Raises:
            PlatformError: The claim could not be read; nothing changed.
        """
        if not self._differing:
            return
        slot = next(iter(self._differing))
        stored = await read_claim(self._platform, slot)
        seen = self._differing.pop(slot, None)
        if stored is None or seen is None:
            return
        if seen.version != stored.version:
            self._record(slot, stored, now)
        elif now - seen.first_read_at <= hold_time:
            self._differing[slot] = seen

    def _record(
        self, slot: str, stored: StoredObject, now: Nanoseconds
    ) -> None:
        claim = decode_claim(stored)
        if claim is None or claim.layout != self._layout:
            revision = claim.revision if claim else 0
            self._differing[slot] = _DifferingClaim(
                stored.version, revision, now
            )
