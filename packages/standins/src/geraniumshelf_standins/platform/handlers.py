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
    fault_for,
    instances,
    visible_objects,
)
from geraniumshelf_standins.platform.state import (
    Entry,
    Fault,
    Instance,
    PlatformState,
)

OBJECT_LIMIT: Final = 1_000_000

_TOO_LARGE: Final = 413
_CONFLICT: Final = 412
_GONE: Final = 410
_MISSING: Final = 404
_UNAVAILABLE: Final = 503
_POLL_S: Final = 0.2


class _Handler(RequestHandler):
    _state: PlatformState

    def initialize(self, state: PlatformState) -> None:
        """Keep the state that all handlers share."""
        self._state = state

    @property
    def _fault(self) -> Fault:
        return fault_for(self._state, self._source)

    @property
    def _source(self) -> str:
        return self.request.remote_ip or ''

    def on_connection_close(self) -> None:
        """Stop work for a caller that went away."""
        self._finished = True

    def _count(self, kind: str) -> None:
        count_call(self._state, kind, self._source)

    async def _suffer(self) -> bool:
        """Apply delay and outage; return whether the call is over."""
        if self._fault.delay_s:
            await asyncio.sleep(self._fault.delay_s)
        if self._finished:
            return True
        if self._fault.down == 'refuse':
            self._hang_up()
            return True
        if self._fault.down:
            raise HTTPError(_UNAVAILABLE)
        return False

    def _hang_up(self) -> None:
        self.detach().close()

    def _write_entries(self, version: int, entries: list[Entry]) -> None:
        rows = [[entry.name, entry.version, entry.content] for entry in entries]
        self.set_header('Content-Type', 'application/cbor')
        self.write(cbor2.dumps([version, rows]))


class ObjectHandler(_Handler):
    """Reads and writes one object."""

    async def get(self, name: str) -> None:
        """Return an object with its version, or 404."""
        self._count('get')
        if await self._suffer():
            return
        _, entries = visible_objects(
            self._state, name, self._fault, time.monotonic_ns()
        )
        if not entries or entries[0].name != name:
            raise HTTPError(_MISSING)
        self.set_header('Object-Version', str(entries[0].version))
        self.set_header('Content-Type', 'application/octet-stream')
        self.write(entries[0].content or b'')

    async def put(self, name: str) -> None:
        """Store an object; 412 on a conflict, 413 above the limit."""
        self._count('put')
        if await self._suffer():
            return
        if len(self.request.body) > OBJECT_LIMIT:
            raise HTTPError(_TOO_LARGE)
        self._store(name, self.request.body)

    async def delete(self, name: str) -> None:
        """Delete an object; 412 on a conflict, 404 if there is none."""
        self._count('delete')
        if await self._suffer():
            return
        if name not in self._state.objects and self._expected() is None:
            raise HTTPError(_MISSING)
        self._store(name, None)

    def _store(self, name: str, content: bytes | None) -> None:
        version = store_object(
            self._state, name, content, self._expected(), time.monotonic_ns()
        )
        if version is None:
            raise HTTPError(_CONFLICT)
        fault = self._fault
        if fault.lose_answers > 0:
            fault.lose_answers -= 1
            self._hang_up()
            return
        self.set_header('Object-Version', str(version))

    def _expected(self) -> int | None:
        if self.request.headers.get('If-None-Match') == '*':
            return 0
        version = self.request.headers.get('If-Match')
        return None if version is None else int(version)


class ListHandler(_Handler):
    """Lists objects."""

    async def get(self) -> None:
        """Return all objects with a prefix and the store version."""
        self._count('list')
        if await self._suffer():
            return
        prefix = self.get_query_argument('prefix', '')
        version, entries = visible_objects(
            self._state, prefix, self._fault, time.monotonic_ns()
        )
        self._write_entries(version, entries)


class WatchHandler(_Handler):
    """Waits for changes."""

    async def get(self) -> None:
        """Return changes after a version; 410 if they are not kept."""
        self._count('watch')
        prefix = self.get_query_argument('prefix', '')
        after = int(self.get_query_argument('after'))
        wait_s = float(self.get_query_argument('wait_s', '0'))
        deadline = time.monotonic_ns() + seconds_to_ns(wait_s)
        while not await self._suffer():
            if self._fault.stall_watches:
                await self._sleep(_POLL_S)
                continue
            entries = changes_after(self._state, prefix, after)
            if entries is None:
                raise HTTPError(_GONE)
            left = deadline - time.monotonic_ns()
            if entries or left <= 0:
                self._write_entries(self._state.version, entries)
                return
            await self._sleep(min(_POLL_S, ns_to_seconds(left)))

    async def _sleep(self, limit_s: float) -> None:
        changed = self._state.changed.wait()
        try:
            await asyncio.wait_for(changed, limit_s)
        except TimeoutError:
            return


class InstancesHandler(_Handler):
    """Returns the lagging instance list."""

    async def get(self) -> None:
        """Return rows of name, zone, peer address and leaving."""
        self._count('instances')
        if await self._suffer():
            return
        listed = instances(
            self._state, time.monotonic_ns(), self._state.instance_lag_s
        )
        self.set_header('Content-Type', 'application/cbor')
        self.write(
            cbor2.dumps(
                [
                    [one.name, one.zone, one.peer_address, one.is_leaving]
                    for one in listed
                ]
            )
        )


class InstanceHandler(_Handler):
    """Declares instances; faults do not apply."""

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

        Only the first fault that concerns a caller applies to it.
        ``instance_lag_s`` in an object sets the lag of the instance list.
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
    """Returns the number of calls by kind; faults do not apply."""

    def get(self) -> None:
        """Return a JSON object of counts, of one ``caller`` if given."""
        caller = self.get_query_argument('caller', None)
        calls = self._state.calls
        if caller is not None:
            calls = self._state.caller_calls.get(caller, Counter())
        self.write(dict(calls))
