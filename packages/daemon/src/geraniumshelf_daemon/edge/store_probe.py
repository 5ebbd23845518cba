"""Probes the store to know whether it responds."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import Final

from geraniumshelf_core.errors import PlatformError
from geraniumshelf_core.units import Nanoseconds, ns_to_seconds
from geraniumshelf_daemon.edge.interface import PlatformStore, RecordKind
from geraniumshelf_daemon.edge.store_availability import (
    StoreAvailabilityTracker,
)
from geraniumshelf_daemon.edge.watch_rules import WatchRules
from geraniumshelf_daemon.observability.events import Event, log_event

# A daemon has contact_s, 3 s or more, to learn what it has missed.
_PROBE_INTERVAL_S: Final = 0.25
# Daemons that are not the prober of their zone probe less often, to spare a
# store in trouble.
_SECONDARY_PROBE_INTERVAL_S: Final = 1.0
# An outage in which entries can expire lasts for some seconds. It is noticed by
# a probe that was sent this time ago and has no response yet.
_LATE_RESPONSE_S: Final = 1.0
# A list counts as current for this many intervals of probes.
_PROBES_PER_LIST_AGE: Final = 2


class StoreProbe:
    """Detects early that the store no longer responds, or does so again.

    A call that is lost on the way ends only at its timeout. Probes are
    therefore sent at intervals without waiting for earlier responses, and
    the first one that reaches the store after the outage gets a response.

    Args:
        store: The platform's store.
        availability: Receives that the store responds.
        clock: Returns the current time, nanoseconds.
        random: Adds jitter, so that daemons do not call at the same time.
        rules: Intervals between calls.
    """

    def __init__(
        self,
        store: PlatformStore,
        availability: StoreAvailabilityTracker,
        clock: Callable[[], Nanoseconds],
        random: Random,
        rules: WatchRules,
    ) -> None:
        self._store = store
        self._availability = availability
        self._clock = clock
        self._random = random
        self._rules = rules
        self._probes: set[asyncio.Task[None]] = set()

    async def run(
        self,
        is_disconnected: Callable[[], bool],
        on_response: Callable[[Nanoseconds], None],
    ) -> None:
        """Send probes when they are needed, until the task is cancelled.

        Args:
            is_disconnected: Returns whether a watch has lost the store.
            on_response: Called with the send time of a probe that succeeded.
        """
        try:
            while True:
                await self._wait_until_due()
                self._start_probe(on_response)
                while is_disconnected():
                    jitter = 1 + self._random.random()
                    await asyncio.sleep(self._retry_interval_s() * jitter)
                    self._start_probe(on_response)
        finally:
            for probe in self._probes:
                probe.cancel()

    async def _wait_until_due(self) -> None:
        """Wait until a call fails or the last response is too long ago."""
        wait_s = self._contact_interval_s()
        last_response_at = self._availability.last_response_at
        if last_response_at is not None:
            age_s = ns_to_seconds(self._clock() - last_response_at)
            if age_s < wait_s:
                wait_s -= age_s
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._availability.wait_for_failure()
                jitter = self._random.random()
                await asyncio.sleep(self._retry_interval_s() * jitter)

    def _start_probe(self, on_response: Callable[[Nanoseconds], None]) -> None:
        probe = asyncio.create_task(self._send_probe(on_response))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    def _contact_interval_s(self) -> float:
        age_s = ns_to_seconds(self._rules.max_list_age())
        return age_s / _PROBES_PER_LIST_AGE

    def _retry_interval_s(self) -> float:
        return (
            _PROBE_INTERVAL_S
            if self._rules.is_prober()
            else _SECONDARY_PROBE_INTERVAL_S
        )

    async def _send_probe(
        self, on_response: Callable[[Nanoseconds], None]
    ) -> None:
        requested_at = self._clock()
        timer = asyncio.get_running_loop().call_later(
            _LATE_RESPONSE_S,
            self._availability.record_unanswered_probe,
            requested_at,
        )
        try:
            # The shortest list, and a stale one will do: the cheapest call.
            view = await self._store.list_records(
                RecordKind.EVACUATIONS, allow_stale=True
            )
        except PlatformError as error:
            self._availability.record_unanswered_probe(requested_at)
            log_event(Event.PROBE_UNANSWERED, error.detail)
            return
        finally:
            timer.cancel()
        self._availability.record_store_response(
            view.revision.era, self._clock()
        )
        on_response(requested_at)
