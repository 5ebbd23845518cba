"""An in-memory platform that simulates lost answers and concurrent writes."""

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
    """A platform that stores objects in memory and injects faults.

    Attributes:
        faults: Fault of each following write of the head: ``lost`` if its
            answer is lost, ``unreadable`` if reads fail after it as well,
            ``dropped`` if the write never arrives.
        before_head_write: Called once, before the next write of the head.
        after_lost_answer: Called once, after the next write whose answer is
            lost.
        is_readable: Whether reads succeed.
        failed_part_writes: Numbers of the writes of parts that never arrive,
            counted from 1.
        stale_objects: Outdated objects that following reads return.
    """

    objects: dict[str, StoredObject] = field(factory=dict)
    faults: list[str] = field(factory=list)
    before_head_write: Callable[[], Awaitable[None]] | None = None
    after_lost_answer: Callable[[], Awaitable[None]] | None = None
    is_readable: bool = True
    stale_objects: list[StoredObject] = field(factory=list)
    version: int = 0
    part_write_count: int = 0
    failed_part_writes: frozenset[int] = frozenset()

    async def get(self, name: str) -> StoredObject:
        if not self.is_readable:
            raise _unreachable()
        if self.stale_objects:
            return self.stale_objects.pop()
        if name not in self.objects:
            raise PlatformError(ResultCode.OBJECT_MISSING, name)
        return self.objects[name]

    async def put(
        self, name: str, content: bytes, expected_version: int | None
    ) -> int:
        fault = ''
        self.part_write_count += name != 'config/head'
        if self.part_write_count in self.failed_part_writes:
            raise _unreachable()
        if name == 'config/head':
            before, self.before_head_write = self.before_head_write, None
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
            after, self.after_lost_answer = self.after_lost_answer, None
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
