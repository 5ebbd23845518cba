"""Follows the configuration head on the platform."""

import asyncio
from collections.abc import Awaitable
from random import uniform
from typing import Final, TypeVar

from geraniumshelf_core.errors import PlatformError, ResultCode
from geraniumshelf_core.units import Nanoseconds, seconds_to_ns
from geraniumshelf_daemon.clock import current_time
from geraniumshelf_daemon.membership.members import Members
from geraniumshelf_daemon.observability.events import Event, log_event
from geraniumshelf_daemon.platform.interface import Platform, StoredObject
from geraniumshelf_daemon.replication.holder import (
    ConfigurationHolder,
    Outcome,
)

HEAD: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'

# A response each second keeps the age of the last contact below the 3 s after
# which a zone counts as cut off, also for peers that hear of it by heartbeat.
WATCH_WAIT_S: Final = 1.0

_IDLE_S: Final = 0.5
_FIRST_DELAY_S: Final = 0.2
_LAST_DELAY_S: Final = 2.0
# Listings at one second each before a watch that failed is tried again.
_LISTINGS: Final = 30

_Answer = TypeVar('_Answer')


class PlatformWatcher:
    """Watches the head while this daemon is a watcher of its zone."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        members: Members,
        platform: Platform,
    ) -> None:
        self._holder = holder
        self._members = members
        self._platform = platform
        self._delay_s = _FIRST_DELAY_S
        self._is_lost = False
        self._listings_left = 0

    async def run(self) -> None:
        """Read the head once, then follow it whenever it is a watcher."""
        await self._guarded(self._list_head())
        while True:
            if self._is_watcher():
                await self._guarded(self._follow())
            else:
                await asyncio.sleep(_IDLE_S)

    def _is_watcher(self) -> bool:
        return self._members.is_watcher(current_time())

    async def _guarded(self, work: Awaitable[object]) -> None:
        try:
            await work
        except PlatformError as error:
            await self._back_off(error)

    async def _back_off(self, error: PlatformError) -> None:
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, error.detail)
            return
        if error.code is ResultCode.PLATFORM_UNREACHABLE and not self._is_lost:
            self._is_lost = True
            log_event(Event.PLATFORM_LOST, error.detail)
        await asyncio.sleep(uniform(self._delay_s / 2, self._delay_s))
        self._delay_s = min(2 * self._delay_s, _LAST_DELAY_S)

    async def _follow(self) -> None:
        version = await self._list_head()
        self._delay_s = _FIRST_DELAY_S
        if self._listings_left:
            self._listings_left -= 1
            await asyncio.sleep(WATCH_WAIT_S)
            return
        while self._is_watcher():
            version = await self._watch_head(version)

    async def _list_head(self) -> int:
        snapshot = await self._contact(self._platform.list_objects(HEAD))
        await self._take(snapshot.objects)
        return snapshot.version

    async def _watch_head(self, version: int) -> int:
        started = current_time()
        call = self._platform.watch(HEAD, version, WATCH_WAIT_S)
        try:
            snapshot = await self._contact(call)
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_UNREACHABLE:
                self._listings_left = _LISTINGS
            raise
        if not snapshot.objects:
            # The platform held the call for the whole wait.
            self._note_contact(started + seconds_to_ns(WATCH_WAIT_S))
        await self._take(snapshot.objects)
        return max(version, snapshot.version)

    async def _take(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.name == HEAD and stored.content is not None:
                await self._take_head(stored.content)

    async def _take_head(self, head: bytes) -> None:
        offer = self._holder.offer(head, ())
        if offer.outcome is not Outcome.INCOMPLETE:
            return
        contents = []
        for digest in offer.missing:
            part = await self._contact(self._platform.get(PART_PREFIX + digest))
            contents.append(part.content or b'')
        if self._holder.offer(head, contents).outcome is Outcome.REFUSED:
            # A damaged read may be whole the next time.
            raise PlatformError(ResultCode.PLATFORM_PROTOCOL, 'refused part')

    async def _contact(self, call: Awaitable[_Answer]) -> _Answer:
        started = current_time()
        try:
            answer = await call
        except PlatformError as error:
            if error.code is not ResultCode.PLATFORM_UNREACHABLE:
                self._note_contact(started)
            raise
        self._note_contact(started)
        return answer

    def _note_contact(self, at: Nanoseconds) -> None:
        self._members.record_contact(at)
        if self._is_lost:
            self._is_lost = False
            log_event(Event.PLATFORM_FOUND)
