"""HTTP handlers of the simulated platform."""

import asyncio
import json
import time
from collections import Counter
from typing import Final

import cbor2
from tornado.web import HTTPError, RequestHandler

from geraniumshelf_core.units import ns_to_seconds, seconds_to_ns
from geraniumshelf_standins.platform.commands import (
    count_call,
    declare_instance,
    replace_faults,
    store_object,
    withdraw_instance,
)
from geraniumshelf_standins.platform.queries import (
    changes_after,
    declared_instances,
    find_fault,
    visible_objects,
)
from geraniumshelf_standins.platform.state import (
    Entry,
    Fault,
    Instance,
    PlatformState,
)

MAX_OBJECT_BYTES: Final = 1_000_000

_CONTENT_TOO_LARGE: Final = 413
_PRECONDITION_FAILED: Final = 412
_GONE: Final = 410
_NOT_FOUND: Final = 404
_SERVICE_UNAVAILABLE: Final = 503
_POLL_INTERVAL_S: Final = 0.2


class _Handler(RequestHandler):
    _state: PlatformState

    def initialize(self, state: PlatformState) -> None:
        """Store the state that all handlers share."""
        self._state = state

    @property
    def _fault(self) -> Fault:
        return find_fault(self._state, self._source)

    @property
    def _source(self) -> str:
        return self.request.remote_ip or ''

    def on_connection_close(self) -> None:
        """Mark the call as finished so that no response is written."""
        self._finished = True

    def _count_call(self, kind: str) -> None:
        count_call(self._state, kind, self._source)

    async def _apply_faults(self) -> bool:
        """Apply delay and outage; return whether the call has ended.

        Raises:
            HTTPError: 503 if the fault is ``unavailable``.
        """
        if self._fault.delay_s:
            await asyncio.sleep(self._fault.delay_s)
        if self._finished:
            return True
        if self._fault.down == 'refuse':
            self._close_connection()
            return True
        if self._fault.down:
            raise HTTPError(_SERVICE_UNAVAILABLE)
        return False

    def _close_connection(self) -> None:
        self.detach().close()

    def _write_entries(self, version: int, entries: list[Entry]) -> None:
        rows = [[entry.name, entry.version, entry.content] for entry in entries]
        self.set_header('Content-Type', 'application/cbor')
        self.write(cbor2.dumps([version, rows]))


class ObjectHandler(_Handler):
    """Reads, writes and deletes one object."""

    async def get(self, name: str) -> None:
        """Return an object with its version; 404 if there is none."""
        self._count_call('get')
        if await self._apply_faults():
            return
        _, entries = visible_objects(
            self._state, name, self._fault, time.monotonic_ns()
        )
        if not entries or entries[0].name != name:
            raise HTTPError(_NOT_FOUND)
        self.set_header('Object-Version', str(entries[0].version))
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(entries[0].content or b'')

    async def put(self, name: str) -> None:
        """Store an object; 412 on a version conflict, 413 if too large."""
        self._count_call('put')
        if await self._apply_faults():
            return
        if len(self.request.body) > MAX_OBJECT_BYTES:
            raise HTTPError(_CONTENT_TOO_LARGE)
        self._store(name, self.request.body)

    async def delete(self, name: str) -> None:
        """Delete an object; 412 on a version conflict, 404 if there is none."""
        self._count_call('delete')
        if await self._apply_faults():
            return
        if name not in self._state.objects and self._expected_version() is None:
            raise HTTPError(_NOT_FOUND)
        self._store(name, None)

    def _store(self, name: str, content: bytes | None) -> None:
        version = store_object(
            self._state,
            name,
            content,
            self._expected_version(),
            time.monotonic_ns(),
        )
        if version is None:
            raise HTTPError(_PRECONDITION_FAILED)
        fault = self._fault
        if fault.lose_answers > 0:
            fault.lose_answers -= 1
            self._close_connection()
            return
        self.set_header('Object-Version', str(version))

    def _expected_version(self) -> int | None:
        if self.request.headers.get('If-None-Match') == '*':
            return 0
        version = self.request.headers.get('If-Match')
        return None if version is None else int(version)


class ListHandler(_Handler):
    """Lists objects by prefix."""

    async def get(self) -> None:
        """Return all objects with a prefix and the store version."""
        self._count_call('list')
        if await self._apply_faults():
            return
        prefix = self.get_query_argument('prefix', '')
        version, entries = visible_objects(
            self._state, prefix, self._fault, time.monotonic_ns()
        )
        self._write_entries(version, entries)


class WatchHandler(_Handler):
    """Waits for changes of objects with a prefix."""

    async def get(self) -> None:
        """Return the changes after a version, empty after ``wait_s``.

        The status is 410 if some of the changes are no longer kept.
        """
        self._count_call('watch')
        prefix = self.get_query_argument('prefix', '')
        after = int(self.get_query_argument('after'))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        deadline = time.monotonic_ns() + seconds_to_ns(wait_s)
        while not await self._apply_faults():
            if self._fault.stall_watches:
                await self._wait_for_change(_POLL_INTERVAL_S)
                continue
            entries = changes_after(self._state, prefix, after)
            if entries is None:
                raise HTTPError(_GONE)
            remaining_ns = deadline - time.monotonic_ns()
            if entries or remaining_ns <= 0:
                self._write_entries(self._state.version, entries)
                return
            await self._wait_for_change(
                min(_POLL_INTERVAL_S, ns_to_seconds(remaining_ns))
            )

    async def _wait_for_change(self, max_wait_s: float) -> None:
        changed = self._state.changed.wait()
        try:
            await asyncio.wait_for(changed, max_wait_s)
        except TimeoutError:
            return


class InstancesHandler(_Handler):
    """Returns the instance list, delayed by the configured lag."""

    async def get(self) -> None:
        """Return a row of name, zone, peer address and leaving per instance."""
        self._count_call('instances')
        if await self._apply_faults():
            return
        listed = declared_instances(
            self._state, time.monotonic_ns(), self._state.instance_lag_s
        )
        self.set_header('Content-Type', 'application/cbor')
        self.write(
            cbor2.dumps(
                [
                    [
                        instance.name,
                        instance.zone,
                        instance.peer_address,
                        instance.is_leaving,
                    ]
                    for instance in listed
                ]
            )
        )


class InstanceHandler(_Handler):
    """Declares and withdraws instances; faults do not apply."""

    def put(self, name: str) -> None:
        """Declare an instance from a JSON object."""
        declared = Instance(name, **json.loads(self.request.body))
        declare_instance(self._state, declared, time.monotonic_ns())

    def delete(self, name: str) -> None:
        """Withdraw an instance."""
        withdraw_instance(self._state, name, time.monotonic_ns())


class FaultsHandler(_Handler):
    """Sets faults; faults do not apply."""

    def put(self) -> None:
        """Replace all faults by a JSON object or a list of objects.

        Only the first fault that matches the source address of a caller
        applies. ``instance_lag_s`` sets the lag of the instance list, seconds.
        """
        rows = json.loads(self.request.body)
        faults = []
        for row in rows if isinstance(rows, list) else [rows]:
            lag_s = row.pop('instance_lag_s', self._state.instance_lag_s)
            self._state.instance_lag_s = lag_s
            sources = tuple(row.pop('only_from', ()))
            faults.append(Fault(sources, **row))
        replace_faults(self._state, tuple(faults))


class CountersHandler(_Handler):
    """Returns counters of the API calls; faults do not apply."""

    def get(self) -> None:
        """Return the calls by kind, of one source IP ``caller`` if given."""
        caller = self.get_query_argument('caller', None)
        calls = self._state.calls
        if caller is not None:
            calls = self._state.caller_calls.get(caller, Counter())
        self.write(dict(calls))
