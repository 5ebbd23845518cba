"""Reading and replacing the configuration that the platform stores."""

import asyncio
import secrets
from collections.abc import Callable
from enum import Enum, unique
from typing import Final

from attrs import field, frozen

from geraniumshelf_cli.reports import change_lines
from geraniumshelf_core.configuration.comparison import Change, find_changes
from geraniumshelf_core.configuration.head import (
    HEAD_NAME,
    MAX_RECENT_APPLY_IDS,
    PART_PREFIX,
    Head,
    decode_head,
    encode_head,
    expired_parts,
    next_head,
)
from geraniumshelf_core.configuration.identity import sort_entries
from geraniumshelf_core.configuration.model import Configuration
from geraniumshelf_core.configuration.parts import join_parts, split_parts
from geraniumshelf_core.errors import (
    ConfigurationError,
    GeraniumshelfError,
    OperatorError,
    PlatformError,
    ResultCode,
)
from geraniumshelf_daemon.platform.interface import Platform, StoredObject

EMPTY: Final = Configuration('none')

_APPLY_ID_BYTES: Final = 12
_MAX_OBJECT_BYTES: Final = 1_000_000
_MAX_CONCURRENT_READS: Final = 16
_MAX_EDIT_ATTEMPTS: Final = 16


@unique
class _Outcome(Enum):
    IN_FORCE = 'in force'
    LOST_RACE = 'lost race'
    UNKNOWN = 'unknown'


@frozen
class StoredRevision:
    """The configuration in force as read from the platform.

    Attributes:
        version: Version of the head object, 0 before the first apply.
        head: The head.
        configuration: The configuration, ``None`` before the first apply.
    """

    version: int = 0
    head: Head = field(factory=Head)
    configuration: Configuration | None = None


@frozen
class PublishResult:
    """The result of publishing a configuration.

    Attributes:
        revision: Revision in force afterwards.
        apply_id: Id of the apply; empty if nothing changed.
        changes: Changes of the revision.
        is_cleaned: Whether unused parts were deleted.
    """

    revision: int
    apply_id: str
    changes: tuple[Change, ...]
    is_cleaned: bool = True


@frozen
class Publisher:
    """Reads the configuration and replaces it by conditional updates.

    Attributes:
        platform: Platform that stores the configuration.
        max_attempts: Attempts to complete a write whose answer was lost.
        retry_delay_s: Time between two attempts, seconds.
    """

    platform: Platform
    max_attempts: int = 10
    retry_delay_s: float = 0.5

    async def read(self) -> StoredRevision:
        """Read the configuration in force.

        Raises:
            PlatformError: If the platform cannot be read.
            ConfigurationError: ``DAMAGED_PART``.
        """
        version, head = await self._read_head()
        if not version:
            return StoredRevision()
        parts: dict[str, bytes] = {}
        for first in range(0, len(head.digests), _MAX_CONCURRENT_READS):
            digests = head.digests[first : first + _MAX_CONCURRENT_READS]
            names = [PART_PREFIX + digest for digest in digests]
            found = await asyncio.gather(*map(self._get, names))
            for digest, part in zip(digests, found, strict=True):
                if part is not None:
                    parts[digest] = part.content or b''
        return StoredRevision(version, head, join_parts(head.digests, parts))

    async def apply(
        self, stored: StoredRevision, desired: Configuration
    ) -> PublishResult:
        """Replace the configuration that was read.

        Raises:
            OperatorError: ``APPLY_CONFLICT`` if another change came first,
                ``APPLY_UNKNOWN`` if the outcome could not be read back.
            PlatformError: If the platform failed before the head was sent.
        """
        published = await self._replace(stored, desired)
        if published is not None:
            return published
        raise OperatorError(
            ResultCode.APPLY_CONFLICT,
            'another change came first; nothing of this apply is in force; '
            f'{await self._describe_concurrent_change(stored)}',
        )

    async def edit(
        self, change: Callable[[Configuration], Configuration]
    ) -> PublishResult:
        """Apply an edit; retry it if another change came first.

        Raises:
            OperatorError: As ``apply``; ``NOT_FOUND`` before the first apply.
        """
        for _ in range(_MAX_EDIT_ATTEMPTS):
            stored = await self.read()
            if stored.configuration is None:
                raise OperatorError(
                    ResultCode.NOT_FOUND, 'no configuration is applied yet'
                )
            published = await self._replace(
                stored, change(stored.configuration)
            )
            if published is not None:
                return published
        raise OperatorError(
            ResultCode.APPLY_CONFLICT,
            f'{_MAX_EDIT_ATTEMPTS} other changes came first; nothing changed',
        )

    async def _describe_concurrent_change(self, stored: StoredRevision) -> str:
        try:
            latest = await self.read()
        except GeraniumshelfError as error:
            return f'its differences could not be read: {error}'
        changes = find_changes(
            stored.configuration or EMPTY, latest.configuration or EMPTY
        )
        lines = '; '.join(change_lines(changes))
        return f'revision {latest.head.revision}: {lines}'

    async def _replace(
        self, stored: StoredRevision, desired: Configuration
    ) -> PublishResult | None:
        desired = sort_entries(desired)
        changes = find_changes(stored.configuration or EMPTY, desired)
        if stored.configuration is not None and not changes:
            return PublishResult(stored.head.revision, '', ())
        apply_id = secrets.token_hex(_APPLY_ID_BYTES)
        parts = split_parts(desired)
        head = next_head(stored.head, parts, apply_id)
        encoded = _encode_checked(head)
        added = {
            PART_PREFIX + digest: part
            for digest, part in parts.items()
            if digest not in stored.head.digests
        }
        # Parts are content-addressed, so a retry after a lost answer is safe.
        await self._write_parts_with_retries(added)
        match await self._replace_head(stored.version, encoded, head):
            case _Outcome.LOST_RACE:
                return None
            case _Outcome.UNKNOWN:
                raise _unknown_outcome_error(head)
        is_cleaned = await self._clean_up(stored.head, head, added)
        return PublishResult(head.revision, apply_id, changes, is_cleaned)

    async def _write_parts(self, parts: dict[str, bytes]) -> None:
        for name, part in parts.items():
            await self.platform.put(name, part, None)

    async def _write_parts_with_retries(self, parts: dict[str, bytes]) -> None:
        for _ in range(self.max_attempts):
            try:
                return await self._write_parts(parts)
            except PlatformError:
                await asyncio.sleep(self.retry_delay_s)
        await self._write_parts(parts)

    async def _replace_head(
        self, version: int, encoded: bytes, head: Head
    ) -> _Outcome:
        for _ in range(self.max_attempts):
            try:
                await self.platform.put(HEAD_NAME, encoded, version)
            except PlatformError:
                outcome = await self._check_outcome(version, head)
            else:
                return _Outcome.IN_FORCE
            if outcome is not None:
                return outcome
            await asyncio.sleep(self.retry_delay_s)
        return _Outcome.UNKNOWN

    async def _check_outcome(self, version: int, sent: Head) -> _Outcome | None:
        # While the version is unchanged, the update may still arrive, but only
        # once, so a retry with the same version is safe. After the version has
        # changed, an update missing from the recent applies cannot take effect.
        try:
            current, found = await self._read_head()
        except GeraniumshelfError:
            return None
        if sent.recent_apply_ids[-1] in found.recent_apply_ids:
            return _Outcome.IN_FORCE
        if current <= version:
            # Unchanged, or a stale answer of a store that lags behind.
            return None
        if found.revision >= sent.revision + MAX_RECENT_APPLY_IDS:
            return _Outcome.UNKNOWN
        return _Outcome.LOST_RACE

    async def _read_head(self) -> tuple[int, Head]:
        stored = await self._get(HEAD_NAME)
        if stored is None:
            return 0, Head()
        return stored.version, decode_head(stored.content or b'')

    async def _clean_up(
        self, old: Head, new: Head, added: dict[str, bytes]
    ) -> bool:
        # Another operator's clean-up may have deleted a part that this head
        # uses again. Writing the part after the head changes its version, so
        # that a clean-up that started earlier fails with a version conflict.
        try:
            await self._write_parts_with_retries(added)
            for digest in expired_parts(old, new):
                await self._delete_unused(digest)
        except GeraniumshelfError:
            return False
        return True

    async def _delete_unused(self, digest: str) -> None:
        part = await self._get(PART_PREFIX + digest)
        _, head = await self._read_head()
        if part is None:
            return
        retired = {old.digest for old in head.retired}
        if digest in head.digests or digest in retired:
            return
        try:
            await self.platform.delete(part.name, part.version)
        except PlatformError as error:
            if error.code is not ResultCode.VERSION_CONFLICT:
                raise

    async def _get(self, name: str) -> StoredObject | None:
        try:
            return await self.platform.get(name)
        except PlatformError as error:
            if error.code is ResultCode.OBJECT_MISSING:
                return None
            raise


def _encode_checked(head: Head) -> bytes:
    encoded = encode_head(head)
    if len(encoded) > _MAX_OBJECT_BYTES:
        raise ConfigurationError(
            ResultCode.OBJECT_TOO_LARGE,
            f'{HEAD_NAME}: found {len(encoded)} bytes; '
            f'allowed: {_MAX_OBJECT_BYTES}',
        )
    return encoded


def _unknown_outcome_error(head: Head) -> OperatorError:
    return OperatorError(
        ResultCode.APPLY_UNKNOWN,
        f'could not read back whether revision {head.revision} of apply '
        f'{head.recent_apply_ids[-1]} took effect; '
        'read the configuration with `get` before trying again',
    )
