"""Stand-ins of the engines: plain services, stages, model engines (PROTOCOL)."""

import asyncio
import json
import socket
import time

from http1 import answer, read_head, read_request


class Engine:
    """One engine. ``work`` seconds a request, ``slots`` at once.

    ``record`` is called with a line for each request that arrives and runs.
    """

    def __init__(self, ident, service, zone, record, *, slots=8, work=0.05):
        self.ident = ident
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work = work
        self.address = ''
        self.server = None
        self.seq = 0
        # What each request that ran was: attempt id, time, headers, body.
        self.runs = []
        self.arrivals = []
        self.results = {}
        self.made = 0
        # Version of its software.
        self.version = 'v1'
        # Unix milliseconds of its start.
        self.born = int(time.time() * 1000)
        self.writers = set()
        # Bytes of a body that it reads a second; 0 where it does not wait.
        self.read_rate = 0

    async def start(self, host, port=0):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.read_rate:
            # Channels have small windows (DEPLOY).
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        listener.bind((host, port))
        self.server = await asyncio.start_server(self._serve, sock=listener)
        self.address = '%s:%d' % (
            host,
            self.server.sockets[0].getsockname()[1],
        )

    def entry(self, state='ready'):
        self.seq += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slot_count,
            'state': state,
            'cold_left_ms': 0,
            'born': self.born,
            'seq': self.seq,
        }

    async def crash(self):
        """End at once: reset all channels and listen no more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            request = await self._read(reader)
            while request is not None:
                if not await self._handle(request, reader, writer):
                    break
                request = await self._read(reader)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read(self, reader):
        if not self.read_rate:
            return await read_request(reader)
        request = await read_head(reader)
        if request is None:
            return None
        left = int(request.headers.get('content-length', 0))
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                return None
            left -= len(part)
            await asyncio.sleep(len(part) / self.read_rate)
        return request

    async def _handle(self, request, reader, writer):
        headers = request.headers
        method, target, _ = request.first.split(' ', 2)
        ident = headers.get('x-attempt-id', '')
        expected = headers.get('x-expect-instance')
        if expected and expected != self.ident:
            writer.write(answer(421, b'', [('X-Not-Run', '1')]))
            return True
        if target == '/health':
            writer.write(answer(200, b'', [('X-Instance-Id', self.ident)]))
            return True
        if target == '/v1/report':
            report = {'queued': 0, 'busy': 0, 'free_mb': 100, 'born': self.born}
            writer.write(answer(200, json.dumps(report).encode()))
            return True
        if target == '/v1/stage-run':
            return await self._stage(request, writer)
        if target == '/v1/stage-free':
            for handle in json.loads(request.body)['handles']:
                self.results.pop(handle, None)
            writer.write(answer(200, b'{}'))
            return True
        if not ident:
            writer.write(answer(400, b'', [('X-Not-Run', '1')]))
            return True
        now = time.monotonic()
        self.arrivals.append((now, ident))
        self.record(f'arrived {ident} at {self.ident} {method} {target}')
        return await self.run(request, ident, reader, writer)

    async def run(self, request, ident, reader, writer):
        """Run a request and answer it; drop it when its channel closes."""
        async with self.slots:
            self.runs.append((time.monotonic(), ident, request))
            self.record(f'run {ident} at {self.ident}')
            await asyncio.sleep(self.work)
        writer.write(
            answer(200, f'answer to {ident}'.encode(), self._proof(ident))
        )
        await writer.drain()
        return True

    def _proof(self, ident):
        return [
            ('X-Attempt-Id', ident),
            ('X-Response-Stamp', f'proof.{self.ident}.{ident}'),
            ('X-Server-Load', f'1,0,{self.slot_count}'),
        ]

    async def _stage(self, request, writer):
        items = json.loads(request.body)['items']
        async with self.slots:
            answers = []
            for item in items:
                self.made += 1
                handle = f'{self.address}/{self.made:x}'
                self.results[handle] = item['id']
                self.arrivals.append((time.monotonic(), item['id']))
                self.record(
                    'piece %s stage %s segment %s at %s'
                    % (item['id'], item['stage'], item['segment'], self.ident)
                )
                answers.append({'handle': handle})
            await asyncio.sleep(self.work)
        writer.write(
            answer(
                200,
                json.dumps({'items': answers}).encode(),
                [
                    ('Content-Type', 'application/json'),
                    ('X-Server-Load', f'1,0,{self.slot_count}'),
                ],
            )
        )
        await writer.drain()
        return True


class StreamEngine(Engine):
    """Answers with a stream of events that name its software version.

    A stream goes on after ``Last-Event-Id``; its version is not checked.
    """

    events = 40

    async def run(self, request, ident, reader, writer):
        first = int(request.headers.get('last-event-id') or 0) + 1
        async with self.slots:
            self.runs.append((time.monotonic(), ident, request))
            self.record(
                f'run {ident} at {self.ident} version {self.version} from '
                f'event {first}'
            )
            head = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
            head += [f'{name}: {value}' for name, value in self._proof(ident)]
            head += ['Transfer-Encoding: chunked', '', '']
            writer.write('\r\n'.join(head).encode())
            for number in range(first, self.events + 1):
                event = f'id: {number}\ndata: {self.version}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.work / self.events)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        return True
