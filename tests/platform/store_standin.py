"""A stand-in for the platform's store, in this process."""

import asyncio
import json
from copy import deepcopy
from enum import Enum, unique
from typing import Any

from attrs import define, field, frozen
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

_PAGE = 500


@unique
class StoreBehaviour(Enum):
    """How the store answers."""

    SOUND = 'sound'
    BUSY = 'busy'
    SILENT = 'silent'
    RESET = 'reset'


@frozen
class StoreSnapshot:
    """Everything that a store holds at one time."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]


@define(eq=False)
class StoreStandin:
    """Objects with revisions, lists and watches.

    Attributes:
        behaviour: How calls are answered.
        revision: Revision of the newest change.
        calls: Method and path of every call.
        era: Told in all answers; rises with each return from a copy.
        ignored_ips: IP addresses of callers that get no answer.
    """

    behaviour: StoreBehaviour = StoreBehaviour.SOUND
    revision: int = 10
    calls: list[str] = field(factory=list)
    era: int = 1
    ignored_ips: set[str] = field(factory=set)
    _objects: dict[tuple[str, str], dict[str, Any]] = field(factory=dict)
    _events: list[tuple[int, str, dict[str, Any], bool]] = field(factory=list)
    _oldest: int = 0
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _server: HTTPServer | None = None
    _tasks: set[asyncio.Future[None]] = field(factory=set)

    def listen(self) -> str:
        """Listen on loopback and return the address."""
        sockets = bind_sockets(0, '127.0.0.1')
        self._server = HTTPServer(self._take)
        self._server.add_sockets(sockets)
        return f'127.0.0.1:{sockets[0].getsockname()[1]}'

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as its owner does."""
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
        self._tell(kind, written, is_removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as its owner does."""
        self.revision += 1
        removed = self._objects.pop((kind, name))
        self._tell(kind, removed, is_removed=True)

    def compact(self) -> None:
        """Forget the history."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def take_snapshot(self) -> StoreSnapshot:
        """Return a copy of everything, as it is now."""
        return StoreSnapshot(
            self.revision, deepcopy(self._objects), list(self._events)
        )

    def restore(self, copy: StoreSnapshot) -> None:
        """Come back from a copy; what was written since is gone."""
        self.revision = copy.revision
        self._objects = deepcopy(copy.objects)
        self._events = list(copy.events)
        self.era += 1
        self._wake()

    def specs(self, kind: str) -> dict[str, object]:
        """Return the specs of a kind by name."""
        return {
            name: found['spec']
            for (held, name), found in self._objects.items()
            if held == kind
        }

    async def close(self) -> None:
        """Stop listening and end all calls."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    def _tell(
        self, kind: str, changed: dict[str, Any], *, is_removed: bool
    ) -> None:
        self._events.append((self.revision, kind, changed, is_removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _take(self, request: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
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
            case StoreBehaviour.BUSY:
                status, body = 503, {}
            case _:
                status, body = await self._serve(request)
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

    async def _serve(
        self, request: HTTPServerRequest
    ) -> tuple[int, dict[str, Any]]:
        parts = request.path.strip('/').split('/')
        kind = parts[1]
        if request.method == 'GET':
            if 'watch' in request.query_arguments:
                return await self._watch(request, kind)
            return 200, self._list(request, kind)
        content = json.loads(request.body)
        name = content['metadata']['name']
        is_known = (kind, name) in self._objects
        if request.method == 'POST' and is_known:
            return 409, self._objects[kind, name]
        if request.method == 'PUT' and not is_known:
            return 404, {}
        self.put(kind, name, content['spec'])
        return 200, self._objects[kind, name]

    def _list(self, request: HTTPServerRequest, kind: str) -> dict[str, Any]:
        after = request.query_arguments.get('after', [b''])[0].decode()
        found = sorted(
            name
            for held, name in self._objects
            if held == kind and name > after
        )
        return {
            'items': [self._objects[kind, name] for name in found[:_PAGE]],
            'more': len(found) > _PAGE,
            'store_revision': self.revision,
        }

    async def _watch(
        self, request: HTTPServerRequest, kind: str
    ) -> tuple[int, dict[str, Any]]:
        after = int(request.query_arguments['watch'][0])
        wait_s = int(request.query_arguments['wait_ms'][0]) / 1000
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < self._oldest or after > self.revision:
                return 410, {}
            events = [
                {'object': changed, 'removed': is_removed}
                for at, held, changed, is_removed in self._events
                if held == kind and at > after
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue
