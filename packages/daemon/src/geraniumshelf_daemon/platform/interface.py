"""The narrow interface to the platform; an adapter implements it."""

from typing import Protocol

from attrs import frozen


@frozen
class StoredObject:
    """An object of the platform.

    Attributes:
        name: Full name, ``config/head``.
        version: Version of the store at its last change, growing.
        content: The value; ``None`` in a watch event for a deleted object.
    """

    name: str
    version: int
    content: bytes | None


@frozen
class Snapshot:
    """A listing or a batch of changes up to a version of the store."""

    version: int
    objects: tuple[StoredObject, ...]


@frozen
class ListedInstance:
    """An entry of the platform's lagging instance list.

    Attributes:
        name: Instance name.
        zone: Availability zone.
        peer_address: Where peers reach it.
        is_leaving: Whether the platform is about to stop it.
    """

    name: str
    zone: str
    peer_address: str
    is_leaving: bool


class Platform(Protocol):
    """The platform's calls; each may raise ``PlatformError``.

    ``PLATFORM_UNREACHABLE`` leaves open whether a write took effect.
    """

    async def get(self, name: str) -> StoredObject:
        """Return an object; ``OBJECT_MISSING`` if there is none."""

    async def list_objects(self, prefix: str) -> Snapshot:
        """Return all objects whose name starts with the prefix."""

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        """Store an object and return its version.

        Args:
            name: Full name.
            content: Value, at most one megabyte.
            expected_version: Version that it must have now, 0 if it must not
                exist, ``None`` for any. ``VERSION_CONFLICT`` otherwise.
        """

    async def delete(self, name: str, expected_version: int | None) -> None:
        """Delete an object under the same condition as ``put``."""

    async def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Snapshot:
        """Wait for changes after a version; may return none.

        ``WATCH_TOO_OLD`` asks the caller to list again.
        """

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the lagging list of live and leaving instances."""
