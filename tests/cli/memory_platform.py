"""A platform in memory that loses answers and lets other writers race."""

from collections.abc import Awaitable, Callable

from attrs import define, field

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_daemon.platform.interface import (
    ListedInstance,
    Snapshot,
    StoredObject,
)


@define
class MemoryPlatform:
    """Objects in memory.

    Attributes:
        faults: For each coming write of the head: ``lost`` for a write whose
            answer is lost, ``unreadable`` if reads fail after it as well,
            ``dropped`` for a write that never arrives.
        before_head: Runs once before the next write of the head.
        after_lost: Runs once after the next write whose answer is lost.
        is_readable: Whether reads succeed.
        part_faults: Which writes of parts never arrive, counted from 1.
        stale: Old objects that coming reads return.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    faults: list[str] = field(factory=list)
    before_head: Callable[[], Awaitable[None]] | None = None
    after_lost: Callable[[], Awaitable[None]] | None = None
    is_readable: bool = True
    stale: list[StoredObject] = field(factory=list)
    version: int = 0
    part_writes: int = 0
    part_faults: frozenset[int] = frozenset()

    async def get(self, name: str) -> StoredObject:
        if not self.is_readable:
            raise _unreachable()
        if self.stale:
            return self.stale.pop()
        if name not in self.objects:
            raise PlatformError(ResultCode.OBJECT_MISSING, name)
        return self.objects[name]

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        fault = ''
        self.part_writes += name != 'config/head'
        if self.part_writes in self.part_faults:
            raise _unreachable()
        if name == 'config/head':
            before, self.before_head = self.before_head, None
            if before is not None:
                await before()
            fault = self.faults.pop(0) if self.faults else ''
        if fault == 'dropped':
            raise _unreachable()
        self._check(name, expected_version)
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, content)
        if fault == 'unreadable':
            self.is_readable = False
        if fault:
            after, self.after_lost = self.after_lost, None
            if after is not None:
                await after()
            raise _unreachable()
        return self.version

    async def delete(self, name: str, expected_version: int | None) -> None:
        self._check(name, expected_version)
        self.objects.pop(name, None)

    async def list_objects(self, prefix: str) -> Snapshot:
        raise NotImplementedError

    async def watch(
        self, prefix: str, after_version: int, wait_s: float
    ) -> Snapshot:
        raise NotImplementedError

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        return ()

    def _check(self, name: str, expected_version: int | None) -> None:
        found = self.objects.get(name)
        version = found.version if found else 0
        if expected_version not in (None, version):
            raise PlatformError(ResultCode.VERSION_CONFLICT, name)


def _unreachable() -> PlatformError:
    return PlatformError(ResultCode.PLATFORM_UNREACHABLE, 'no answer')
