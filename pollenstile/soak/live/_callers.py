"""Callers of a live run, on connections that they keep."""

from random import Random

from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import deferLater
from twisted.web._newclient import (  # noqa: WPS436
    HTTP11ClientProtocol,
    Request,
    ResponseDone,
)
from twisted.web.client import RequestNotSent, ResponseFailed
from twisted.web.http_headers import Headers

from pollenstile.ops.body import BytesProducer
from pollenstile.soak.live._records import Asked
from pollenstile.soak.live._servers import DEADLY, NAMES

# Seconds that callers wait, stated in the request.
DEADLINES = {'find': 2.0, 'book': 2.0, 'draft': 4.0, 'digest': 4.0}
# Seconds beyond the deadline after which a caller gives its connection up.
_MARGIN = 4.0
# Kinds of requests of which one ends each upstream that runs it, and seconds
# between its repeats.
DEADLY_KINDS = ('find', 'draft')
_DEADLY_PAUSE = 0.25
# Seconds between a caller's requests, on average.
_PAUSE = 0.06
# Share of the requests that carry any key there ever was.
_OLD_KEYS = 0.2
_MS = 1000
_LARGE = 3000
# How a request ends whose connection brings no answer.
_LOST = (TimeoutError, CancelledError, ResponseFailed, RequestNotSent)


class _Connecting(ClientFactory):
    noisy = False

    def __init__(self):
        self.done = Deferred()

    def buildProtocol(self, address):
        """Return the connection; called by twisted."""
        return _Kept(self.done)

    def clientConnectionFailed(self, connector, reason):
        """Note that nobody listens; called by twisted."""
        if not self.done.called:
            self.done.callback(None)


class _Kept(HTTP11ClientProtocol):
    """A connection for one request after another."""

    def __init__(self, done):
        super().__init__()
        self.done = done
        self.over = False

    def connectionMade(self):
        """Begin; called by twisted."""
        super().connectionMade()
        if not self.done.called:
            self.done.callback(self)

    def connectionLost(self, reason):
        """End; called by twisted."""
        self.over = True
        super().connectionLost(reason)


class _Body(Protocol):
    def __init__(self, asked):
        self.asked = asked
        self.ended = Deferred()

    def dataReceived(self, data):
        """Keep bytes; called by twisted."""
        self.asked.body += data

    def connectionLost(self, reason):
        """Note how the body ended; called by twisted."""
        self.asked.whole = reason.check(ResponseDone) is not None
        if not self.ended.called:
            self.ended.callback(None)


class Caller:
    """Sends one request after another, mostly to one host.

    Parameters
    ==========

    world : World
        Reactor, hosts, random generator, records.
    """

    def __init__(self, world, number):
        self.world = world
        self.number = number
        # Apart from the faults' generator, so that a seed gives its faults.
        self.rng = Random(f'{world.seed}/{number}')
        self.connection = None
        self.host = None

    async def run(self):
        """Ask until the run is over."""
        world = self.world
        count = 0
        while world.asking:
            pause = self.rng.expovariate(1 / _PAUSE)
            await deferLater(world.reactor, pause)
            count += 1
            ident = f'c{self.number}-{count}'
            kind = self.rng.choice(tuple(DEADLINES))
            await self._ask(ident, kind, ident, self._key())
        if self.connection is not None:
            self.connection.transport.abortConnection()

    async def repeat_deadly(self, kind, seconds):
        """Ask all hosts again and again for what ends its upstream."""
        world = self.world
        ends = world.reactor.seconds() + seconds
        content = f'{DEADLY}-{kind}'
        while world.reactor.seconds() < ends:
            await deferLater(world.reactor, _DEADLY_PAUSE)
            self.number += 1
            ident = f'{content}-{self.number}'
            await self._ask(ident, kind, content, world.keys[0])
            if self.connection is not None:
                self.connection.transport.abortConnection()
            self.connection = None

    async def _ask(self, ident, kind, content, key):
        world = self.world
        if self.connection is None or self.connection.over:
            await self._connect()
        if self.connection is None:
            return
        now = world.reactor.seconds()
        asked = Asked(
            ident, kind, self.host.name, key, now, DEADLINES[kind], content
        )
        world.records.asked.append(asked)
        await self._answered(asked)
        asked.ended_at = world.reactor.seconds()

    def _key(self):
        """Return a key; some go on with one that was taken away."""
        keys = self.world.keys
        if self.rng.random() < _OLD_KEYS:
            keys = self.world.all_keys
        return self.rng.choice(keys)

    async def _connect(self):
        world = self.world
        self.host = self.rng.choice(world.taking_hosts())
        connecting = _Connecting()
        world.reactor.connectTCP(
            *self.host.callers.address, connecting, timeout=1
        )
        self.connection = await connecting.done

    async def _answered(self, asked):
        connection = self.connection
        work = Deferred.fromCoroutine(self._exchange(connection, asked))
        work.addTimeout(asked.deadline + _MARGIN, self.world.reactor)
        try:
            await work
        except _LOST:
            connection.transport.abortConnection()
            self.connection = None

    async def _exchange(self, connection, asked):
        response = await connection.request(_request(asked))
        asked.status = response.code
        body = _Body(asked)
        response.deliverBody(body)
        await body.ended
        if response.headers.getRawHeaders(b'connection') == [b'close']:
            self.connection = None


def _request(asked):
    lines = Headers()
    lines.addRawHeader(b'host', b'shop')
    lines.addRawHeader(NAMES.attempt, asked.ident.encode())
    deadline = b'%d' % (asked.deadline * _MS)
    lines.addRawHeader(NAMES.deadline, deadline)
    lines.addRawHeader(b'authorization', f'Bearer {asked.key}'.encode())
    if asked.kind in {'draft', 'digest'}:
        lines.addRawHeader(NAMES.counts, b'2,3')
        lines.addRawHeader(NAMES.stage_key, asked.ident.encode())
    body = BytesProducer(b'x' * _LARGE)
    target = f'/{asked.kind}/of/{asked.content}?q'.encode()
    return Request(b'POST', target, lines, body, persistent=True)
