"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

_PAGE_ITEMS = 500
_MAX_WAIT_MS = 30_000
_REASONS = {200: 'OK', 404: 'Not Found', 409: 'Conflict', 410: 'Gone'}


class Store:
    """Keeps objects by kind and name, with one revision counter."""

    def __init__(self):
        self.revision = 10
        self._objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Listen on an address and return it."""
        self._server = await asyncio.start_server(self._serve, host, port)
        port = self._server.sockets[0].getsockname()[1]
        return f'{host}:{port}'

    async def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    def put(self, kind, name, spec):
        """Write an object; return its revision."""
        known = self._objects.get((kind, name))
        if known is not None and known['spec'] == spec:
            return known['metadata']['revision']
        self.revision += 1
        created = known['metadata']['create_revision'] if known else self.revision
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._record(kind, stored, removed=False)
        return self.revision

    def remove(self, kind, name):
        """Remove an object."""
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._record(kind, stored, removed=True)

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(name for other, name in self._objects if other == kind)

    def _record(self, kind, stored, *, removed):
        self._events.append((self.revision, kind, stored, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
                request_line, *lines = head.strip().split('\r\n')
                method, target, _ = request_line.split(' ')
                length = 0
                for line in lines:
                    name, _, text = line.partition(':')
                    if name.lower() == 'content-length':
                        length = int(text)
                body = await reader.readexactly(length)
                status, answer = await self._handle(method, target, body)
                content = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
                    'Content-Type: application/json\r\nStore-Era: 1\r\n'
                    f'Content-Length: {len(content)}\r\n\r\n'.encode() + content
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, method, target, body):
        parts = urlsplit(target)
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        _, kind, *rest = [unquote(part) for part in parts.path.strip('/').split('/')]
        name = rest[0] if rest else None
        if method == 'GET':
            return await self._read(kind, name, query)
        if method == 'DELETE':
            self.remove(kind, name)
            return 200, {}
        written = json.loads(body)
        name = name or written['metadata']['name']
        known = self._objects.get((kind, name))
        if method == 'POST' and known is not None:
            return 409, known
        if method == 'PUT' and known is None:
            return 404, {}
        self.put(kind, name, written['spec'])
        return 200, self._objects[kind, name]

    async def _read(self, kind, name, query):
        if name is not None:
            known = self._objects.get((kind, name))
            return (404, {}) if known is None else (200, known)
        if 'watch' in query:
            return await self._watch(kind, query)
        after = query.get('after', '')
        names = [found for found in self.names(kind) if found > after]
        return 200, {
            'items': [self._objects[kind, found] for found in names[:_PAGE_ITEMS]],
            'more': len(names) > _PAGE_ITEMS,
            'store_revision': self.revision,
        }

    async def _watch(self, kind, query):
        after = int(query['watch'])
        wait_s = min(int(query.get('wait_ms', 0)), _MAX_WAIT_MS) / 1000
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                {'object': stored, 'removed': removed}
                for revision, other, stored, removed in self._events
                if other == kind and revision > after
            ]
            left_s = deadline - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue
