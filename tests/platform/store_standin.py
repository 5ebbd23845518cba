"""In-process stand-in of the platform's store."""

import asyncio
import json
from contextlib import suppress
from copy import deepcopy
from enum import Enum, unique
from typing import Any

from attrs import define, field, frozen
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

_MAX_PAGE_ITEMS = 500


@unique
class StoreBehaviour(Enum):
    """How the store responds to calls.

    Attributes:
        SOUND: As specified.
        BUSY: With status 503.
        SILENT: Not at all; the connection stays open.
        RESET: Not at all; the connection is closed.
        ENDLESS: With the bytes ``endless``, the last of them without end.
    """

    SOUND = 'sound'
    BUSY = 'busy'
    SILENT = 'silent'
    RESET = 'reset'
    ENDLESS = 'endless'


@frozen
class StoreSnapshot:
    """The contents of a store at one time."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]


@define(eq=False)
class StoreStandin:
    """A store of objects with revisions, lists and watches.

    Attributes:
        behaviour: How the store responds to calls.
        revision: Revision of the newest change.
        calls: Method and path of every call.
        era: Sent in all responses; each restore of a snapshot raises it.
        ignored_ips: IP addresses of callers that get no response.
        endless: First bytes of an endless response, and what follows; if
            that is empty, the response ends.
    """

    behaviour: StoreBehaviour = StoreBehaviour.SOUND
    revision: int = 10
    calls: list[str] = field(factory=list)
    era: int = 1
    ignored_ips: set[str] = field(factory=set)
    endless: tuple[bytes, bytes] = (b'', b'')
    _objects: dict[tuple[str, str], dict[str, Any]] = field(factory=dict)
    _events: list[tuple[int, str, dict[str, Any], bool]] = field(factory=list)
    _compacted_revision: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _server: HTTPServer | None = None
    _tasks: set[asyncio.Future[None]] = field(factory=set)

    def listen(self) -> str:
        """Listen on a free loopback port and return the address."""
        sockets = bind_sockets(0, '127.0.0.1')
        self._server = HTTPServer(self._accept)
        self._server.add_sockets(sockets)
        return f'127.0.0.1:{sockets[0].getsockname()[1]}'

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as its owner would."""
        self.revision += 1
        written = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = written
        self._notify_watches(kind, written, is_removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as its owner would."""
        self.revision += 1
        removed = self._objects.pop((kind, name))
        self._notify_watches(kind, removed, is_removed=True)

    def compact(self) -> None:
        """Drop all past events, so that watches of them get status 410."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._wake_watches()

    def take_snapshot(self) -> StoreSnapshot:
        """Return a copy of the current contents."""
        return StoreSnapshot(
            self.revision, deepcopy(self._objects), list(self._events)
        )

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Replace the contents by a snapshot, as after a loss of the store.

        All changes since the snapshot are lost, and a new era begins.
        """
        self.revision = snapshot.revision
        self._objects = deepcopy(snapshot.objects)
        self._events = list(snapshot.events)
        self.era += 1
        self._wake_watches()

    def specs(self, kind: str) -> dict[str, object]:
        """Return the specs of a kind by name."""
        return {
            name: stored['spec']
            for (object_kind, name), stored in self._objects.items()
            if object_kind == kind
        }

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _notify_watches(
        self, kind: str, changed: dict[str, Any], *, is_removed: bool
    ) -> None:
        self._events.append((self.revision, kind, changed, is_removed))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _accept(self, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._respond(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _respond(self, request: HTTPServerRequest) -> None:
        self.calls.append(f'{request.method} {request.uri}')
        behaviour = self.behaviour
        if request.remote_ip in self.ignored_ips:
            behaviour = StoreBehaviour.SILENT
        match behaviour:
            case StoreBehaviour.SILENT:
                return
            case StoreBehaviour.RESET:
                request.connection.stream.close()
                return
            case StoreBehaviour.ENDLESS:
                await self._send_endless(request)
                return
            case StoreBehaviour.BUSY:
                status, body = 503, {}
            case _:
                status, body = await self._handle(request)
        content = json.dumps(body).encode()
        headers = type(request.headers)()
        headers['Content-Type'] = 'application/json'
        headers['Content-Length'] = str(len(content))
        headers['Store-Era'] = str(self.era)
        connection = request.connection
        if not connection.stream.closed():
            connection.write_headers(
                ResponseStartLine('HTTP/1.1', status, 'x'), headers, content
            )
            connection.finish()

    async def _send_endless(self, request: HTTPServerRequest) -> None:
        stream = request.connection.stream
        start, repeated = self.endless
        with suppress(StreamClosedError):
            await stream.write(start)
            while repeated:
                await stream.write(repeated)

    async def _handle(
        self, request: HTTPServerRequest
    ) -> tuple[int, dict[str, Any]]:
        parts = request.path.strip('/').split('/')
        kind = parts[1]
        if request.method == 'GET':
            if 'watch' in request.query_arguments:
                return await self._watch(request, kind)
            return 200, self._list(request, kind)
        written = json.loads(request.body)
        name = written['metadata']['name']
        is_known = (kind, name) in self._objects
        if request.method == 'POST' and is_known:
            return 409, self._objects[kind, name]
        if request.method == 'PUT' and not is_known:
            return 404, {}
        self.put(kind, name, written['spec'])
        return 200, self._objects[kind, name]

    def _list(self, request: HTTPServerRequest, kind: str) -> dict[str, Any]:
        after = request.query_arguments.get('after', [b''])[0].decode()
        names = sorted(
            name
            for object_kind, name in self._objects
            if object_kind == kind and name > after
        )
        return {
            'items': [
                self._objects[kind, name] for name in names[:_MAX_PAGE_ITEMS]
            ],
            'more': len(names) > _MAX_PAGE_ITEMS,
            'store_revision': self.revision,
        }

    async def _watch(
        self, request: HTTPServerRequest, kind: str
    ) -> tuple[int, dict[str, Any]]:
        after = int(request.query_arguments['watch'][0])
        wait_s = int(request.query_arguments['wait_ms'][0]) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._compacted_revision or after > self.revision:
                return 410, {}
            events = [
                {'object': changed, 'removed': is_removed}
                for revision, object_kind, changed, is_removed in self._events
                if object_kind == kind and revision > after
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
