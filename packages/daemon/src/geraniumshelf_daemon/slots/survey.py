"""The claims of other slots that show another layout than the own claim."""

from attrs import Factory, define, frozen

from geraniumshelf_core.allowance.claims import Claim
from geraniumshelf_core.allowance.layouts import DifferingClaims
from geraniumshelf_core.units import Nanoseconds
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.slots.objects import (
    PREFIX,
    decode_claim,
    object_name,
    read_claim,
)


@frozen
class _Seen:
    """A claim with another layout.

    Attributes:
        version: Version of the object.
        revision: Revision in the claim.
        since: When this version was first read, nanoseconds.
    """

    version: int
    revision: int
    since: Nanoseconds


@define(eq=False)
class ClaimSurvey:
    """Lists all claims once, after the own claim has shown a layout.

    Two daemons with different layouts both write before they list, so at
    least one of them sees the claim of the other.
    """

    _platform: Platform
    _layout: str = ''
    _revision: int = 0
    _unlike: dict[str, _Seen] = Factory(dict)

    def is_done(self, revision: int) -> bool:
        """Tell whether claims were listed for this or a later revision."""
        return self._revision >= max(1, revision)

    def differing_claims(self) -> DifferingClaims:
        """Return the claims with another layout."""
        revisions = {slot: seen.revision for slot, seen in self._unlike.items()}
        read_at = max((seen.since for seen in self._unlike.values()), default=0)
        return DifferingClaims(revisions, read_at)

    def clear(self) -> None:
        """Ask for a new listing."""
        self._revision = 0
        self._unlike.clear()

    async def take(self, slot: str, claim: Claim, now: Nanoseconds) -> None:
        """List all claims.

        Args:
            slot: Own slot, ``zone/number``.
            claim: Own claim as it is in place.
            now: Nanoseconds.

        Raises:
            PlatformError: The platform failed; nothing changed.
        """
        snapshot = await self._platform.list_objects(PREFIX)
        self._layout = claim.layout
        self._unlike.clear()
        for stored in snapshot.objects:
            if stored.name != object_name(slot):
                self._note(stored.name.removeprefix(PREFIX), stored, now)
        self._revision = claim.revision

    async def recheck(self, hold_time: Nanoseconds, now: Nanoseconds) -> None:
        """Read one of the claims again, each in turn.

        A claim that did not change for the hold time is no longer in use.
        One read a check keeps 4,700 daemons at 78 reads a second while many
        holders are cut off.

        Raises:
            PlatformError: The platform failed; nothing changed.
        """
        if not self._unlike:
            return
        slot = next(iter(self._unlike))
        stored = await read_claim(self._platform, slot)
        seen = self._unlike.pop(slot, None)
        if stored is None or seen is None:
            return
        if seen.version != stored.version:
            self._note(slot, stored, now)
        elif now - seen.since <= hold_time:
            self._unlike[slot] = seen

    def _note(self, slot: str, stored: StoredObject, now: Nanoseconds) -> None:
        claim = decode_claim(stored)
        if claim is None or claim.layout != self._layout:
            revision = claim.revision if claim else 0
            self._unlike[slot] = _Seen(stored.version, revision, now)
