"""Watching of the configuration head on the platform."""

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
    OfferOutcome,
)

HEAD_NAME: Final = 'config/head'
PART_PREFIX: Final = 'config/part/'

# With a response each second, the last contact with the platform stays less
# than 3 s old, also at peers that learn of it by heartbeat. After 3 s a zone
# counts as cut off.
WATCH_TIMEOUT_S: Final = 1.0

_ROLE_CHECK_INTERVAL_S: Final = 0.5
_MIN_RETRY_DELAY_S: Final = 0.2
_MAX_RETRY_DELAY_S: Final = 2.0
# Number of listings, one a second, before a failed watch is tried again.
_LISTINGS_AFTER_FAILED_WATCH: Final = 30

_Answer = TypeVar('_Answer')


class PlatformWatcher:
    """Watches the head while this daemon is a watcher for its zone."""

    def __init__(
        self,
        holder: ConfigurationHolder,
        members: Members,
        platform: Platform,
    ) -> None:
        self._holder = holder
        self._members = members
        self._platform = platform
        self._retry_delay_s = _MIN_RETRY_DELAY_S
        self._is_disconnected = False
        self._listings_left = 0

    async def run(self) -> None:
        """Read the head once, then watch it while this daemon is a watcher."""
        await self._run_with_backoff(self._list_head())
        while True:
            if self._is_watcher():
                await self._run_with_backoff(self._follow_head())
            else:
                await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)

    def _is_watcher(self) -> bool:
        return self._members.is_watcher(current_time())

    async def _run_with_backoff(self, operation: Awaitable[object]) -> None:
        try:
            await operation
        except PlatformError as error:
            await self._back_off(error)

    async def _back_off(self, error: PlatformError) -> None:
        if error.code is ResultCode.WATCH_TOO_OLD:
            log_event(Event.WATCH_RESTARTED, error.detail)
            return
        if (
            error.code is ResultCode.PLATFORM_UNREACHABLE
            and not self._is_disconnected
        ):
            self._is_disconnected = True
            log_event(Event.PLATFORM_LOST, error.detail)
        await asyncio.sleep(
            uniform(self._retry_delay_s / 2, self._retry_delay_s)
        )
        self._retry_delay_s = min(2 * self._retry_delay_s, _MAX_RETRY_DELAY_S)

    async def _follow_head(self) -> None:
        version = await self._list_head()
        self._retry_delay_s = _MIN_RETRY_DELAY_S
        if self._listings_left:
            self._listings_left -= 1
            await asyncio.sleep(WATCH_TIMEOUT_S)
            return
        while self._is_watcher():
            version = await self._watch_head(version)

    async def _list_head(self) -> int:
        snapshot = await self._call_platform(
            self._platform.list_objects(HEAD_NAME)
        )
        await self._take(snapshot.objects)
        return snapshot.version

    async def _watch_head(self, version: int) -> int:
        started = current_time()
        call = self._platform.watch(HEAD_NAME, version, WATCH_TIMEOUT_S)
        try:
            snapshot = await self._call_platform(call)
        except PlatformError as error:
            if error.code is ResultCode.PLATFORM_UNREACHABLE:
                self._listings_left = _LISTINGS_AFTER_FAILED_WATCH
            raise
        if not snapshot.objects:
            # The platform responded only at the end of the watch, so it was
            # reachable until then.
            self._record_contact(started + seconds_to_ns(WATCH_TIMEOUT_S))
        await self._take(snapshot.objects)
        return max(version, snapshot.version)

    async def _take(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.name == HEAD_NAME and stored.content is not None:
                await self._take_head(stored.content)

    async def _take_head(self, head: bytes) -> None:
        offer = self._holder.offer(head, ())
        if offer.outcome is not OfferOutcome.INCOMPLETE:
            return
        contents = []
        for digest in offer.missing:
            part = await self._call_platform(
                self._platform.get(PART_PREFIX + digest)
            )
            contents.append(part.content or b'')
        if self._holder.offer(head, contents).outcome is OfferOutcome.REFUSED:
            # The parts may have been damaged in transit, so read them again.
            raise PlatformError(
                ResultCode.PLATFORM_PROTOCOL,
                'configuration read from the platform was refused',
            )

    async def _call_platform(self, call: Awaitable[_Answer]) -> _Answer:
        started = current_time()
        try:
            response = await call
        except PlatformError as error:
            if error.code is not ResultCode.PLATFORM_UNREACHABLE:
                self._record_contact(started)
            raise
        self._record_contact(started)
        return response

    def _record_contact(self, at: Nanoseconds) -> None:
        self._members.record_contact(at)
        if self._is_disconnected:
            self._is_disconnected = False
            log_event(Event.PLATFORM_FOUND)
