"""Stand-in of the platform's store: objects, lists, watches (PROTOCOL)."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from http1 import answer, read_request


class Store:
    """Keeps objects in memory; one revision counter; whole history."""

    def __init__(self):
        self.objects = {}
        self.revision = 100
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.address = ''
        # Seconds that each answer takes.
        self.delay = 0.004
        # While it is away it closes each channel and answers nothing.
        self.away = False
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def leave(self):
        """Go away, and break all channels."""
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()

    async def write(self, kind, name, spec):
        """Write an object as the operator or an engine; return its revision."""
        async with self.changed:
            kept = self.objects.setdefault(kind, {})
            self.revision += 1
            if spec is None:
                gone = kept.pop(name, None)
                if gone is None:
                    return self.revision
                gone = json.loads(json.dumps(gone))
                gone['metadata']['revision'] = self.revision
                self._note(kind, gone, True)
                return self.revision
            old = kept.get(name)
            item = {
                'metadata': {
                    'name': name,
                    'revision': self.revision,
                    'created': old['metadata']['created'] if old else self.revision,
                    'finalizers': [],
                    'deleting': False,
                },
                'spec': spec,
                'status': None,
            }
            kept[name] = item
            self._note(kind, item, False)
            return self.revision

    def _note(self, kind, item, tombstone):
        self.history.append(
            (self.revision, kind, {'object': item, 'tombstone': tombstone})
        )
        self.changed.notify_all()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                request = await read_request(reader)
                if request is None or self.away:
                    break
                status, body = await self._answer(request)
                await asyncio.sleep(self.delay)
                writer.write(
                    answer(
                        status,
                        json.dumps(body).encode(),
                        [('Content-Type', 'application/json')],
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(' ')
        url = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip('/').split('/')][2:]
        kind = parts[0] if parts else ''
        name = parts[1] if len(parts) > 1 else ''
        kept = self.objects.setdefault(kind, {})
        if method == 'GET' and name:
            if name not in kept:
                return 404, {}
            return 200, kept[name]
        if method == 'GET' and 'watch' in query:
            return 200, await self._watch(kind, query)
        if method == 'GET':
            after = query.get('after', '')
            items = [kept[key] for key in sorted(kept) if key > after]
            return 200, {
                'items': items,
                'has_more': False,
                'current_rev': self.revision,
            }
        body = json.loads(request.body or b'{}')
        metadata = body.get('metadata', {})
        if method == 'POST':
            name = metadata['name']
            if name in kept:
                return 409, kept[name]
            await self.write(kind, name, body.get('spec'))
            return 201, kept[name]
        if name not in kept:
            return 404, {}
        wanted = int(metadata.get('revision') or query.get('revision') or 0)
        if wanted and wanted != kept[name]['metadata']['revision']:
            return 409, kept[name]
        if method == 'DELETE':
            gone = kept[name]
            await self.write(kind, name, None)
            return 200, gone
        if body.get('spec') != kept[name]['spec']:
            await self.write(kind, name, body.get('spec'))
        return 200, kept[name]

    async def _watch(self, kind, query):
        since = int(query['watch'])
        seconds = min(30.0, int(query.get('wait_ms', 0)) / 1000)
        until = asyncio.get_running_loop().time() + seconds
        while True:
            events = [
                event
                for revision, changed, event in self.history
                if revision > since and changed == kind
            ]
            left = until - asyncio.get_running_loop().time()
            if events or left <= 0:
                return {'events': events, 'current_rev': self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    pass
