"""Interface to the platform, which adapters implement."""

from typing import Protocol

from attrs import frozen


@frozen
class StoredObject:
    """An object of the platform.

    Attributes:
        name: Full name, such as ``config/head``.
        version: Version of the store at the last change of the object; grows
            with each change.
        content: Value; ``None`` for a deleted object in the result of a watch.
    """

    name: str
    version: int
    content: bytes | None


@frozen
class Snapshot:
    """Objects of a listing, or changed ones, up to a version of the store."""

    version: int
    objects: tuple[StoredObject, ...]


@frozen
class ListedInstance:
    """An entry of the platform's list of instances, which lags behind.

    Attributes:
        name: Instance name.
        zone: Availability zone.
        peer_address: IP address and port for peers.
        is_leaving: Whether the platform is about to stop it.
    """

    name: str
    zone: str
    peer_address: str
    is_leaving: bool


class Platform(Protocol):
    """Calls of the platform; each may raise ``PlatformError``.

    After ``PLATFORM_UNREACHABLE`` it is unknown whether a write took effect.
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
            expected_version: Version that the object must have now, 0 if it
                must not exist, ``None`` for any. Otherwise the call fails with
                ``VERSION_CONFLICT``.
        """

    async def delete(self, name: str, expected_version: int | None) -> None:
        """Delete an object under the same condition as ``put``."""

    async def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Snapshot:
        """Wait for changes after a version; may return no objects.

        After ``WATCH_TOO_OLD`` the caller must list the objects again.
        """

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Return the live and leaving instances; the list lags behind."""
