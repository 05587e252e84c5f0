"""Builders of an entry host with a virtual clock and real sockets."""

import hashlib
from random import Random

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import Clock

from features.builders.loop import run_reactor_until
from pollenstile.entry import Daemon, build_node
from pollenstile.manifest import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
    text_from_manifest,
)
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.standin.objectapi import MemoryStore
from pollenstile.standin.virtual import (
    Times,
    VirtualUpstream,
    healthy_network,
)

LAME_DUCK_SECONDS = 2.0
_KEY = b'shutdown-key'
_TOKENS = 6
_REACTOR_TURNS = 25


def _manifest():
    digest = hashlib.sha256(_KEY).hexdigest()
    chat = Stage('generate', 'engines', model='demo', max_tokens=_TOKENS)
    book = Stage('book', 'booking', idempotent=False, attempts=1)
    return Manifest(
        name='shutdown',
        domains={'here': Domain('here')},
        models={'demo': Model('1')},
        pools={
            'engines': Pool(
                'engine',
                {'e1': Upstream('here', '127.0.0.1:1')},
                models=['demo'],
            ),
            'booking': Pool('service', {'b1': Upstream('here', '127.0.0.1:2')}),
        },
        pipelines={
            'chat': Pipeline(60000, ['salons'], [chat]),
            'log-minutes': Pipeline(
                60000,
                ['salons'],
                [book],
                idempotent=False,
            ),
        },
        teams={'salons': Team([digest])},
        policy=Policy(
            lame_duck_ms=int(LAME_DUCK_SECONDS * 1000), silence_ms=30000
        ),
    )


class SocketClock(Clock):
    """A virtual clock that listens on real ports."""

    def listenTCP(self, *arguments, **named):
        """Listen on the loopback interface."""
        return reactor.listenTCP(*arguments, **named)


class RawCaller(Protocol):
    """A caller that sends bytes and records the response.

    Attributes
    ==========

    received : bytes
        All received bytes.
    closed : bool
        Whether the connection has ended.
    """

    def __init__(self, request, *, reads):
        self.request = request
        self.reads = reads
        self.received = b''
        self.closed = False

    def connectionMade(self):
        """Send the request; called by twisted."""
        self.transport.write(self.request)
        if not self.reads:
            self.transport.pauseProducing()

    def dataReceived(self, data):
        """Append received data; called by twisted."""
        self.received += data

    def connectionLost(self, reason):
        """Record that the connection closed; called by twisted."""
        self.closed = True

    def resume_reading(self):
        """Resume reading."""
        self.transport.resumeProducing()


class RefusalCounter(ClientFactory):
    """Counts refused connections."""

    def __init__(self):
        self.refused = 0

    def clientConnectionFailed(self, connector, reason):
        """Count a refused connection; called by twisted."""
        self.refused += 1


def request_bytes(pipeline, key='', content=b'"hi"'):
    """Return the bytes of a caller's HTTP request."""
    body = b'{"input": %s}' % content
    lines = [
        b'POST /v1/pipelines/%s HTTP/1.1' % pipeline.encode(),
        b'Host: here',
        b'Authorization: Bearer %s' % _KEY,
        b'Accept: text/event-stream',
        b'Content-Length: %d' % len(body),
    ]
    if key:
        lines.append(b'Idempotency-Key: %s' % key.encode())
    return b'\r\n'.join([*lines, b'', body])


class ListeningHost:
    """One listening entry host with virtual upstreams."""

    def __init__(self):
        self.clock = SocketClock()
        self.clock.advance(1000.0)
        self.store = MemoryStore(self.clock)
        self.store.latency = 0.005
        self.events = []
        times = Times(lambda: 0.05, lambda: 0.01)
        self.upstreams = {
            'e1': VirtualUpstream(self.clock, 'e1', 'engine', 8, times),
            'b1': VirtualUpstream(self.clock, 'b1', 'service', 8, times),
        }
        network = healthy_network(self.clock, self.upstreams)
        settings = settings_from(
            None,
            ENTRY,
            {
                'POLLENSTILE_HOST': 'h1',
                'POLLENSTILE_DOMAIN': 'here',
                'POLLENSTILE_LISTEN': '127.0.0.1:0',
                'POLLENSTILE_ADMIN': '127.0.0.1:0',
            },
        )
        node = build_node(
            self.clock,
            Random(1),
            settings,
            network.transport_from('h1'),
            store=self.store,
            log=self._log,
        )
        node.in_force.offer(1, text_from_manifest(_manifest()), 'test')
        self.node = node
        self.daemon = Daemon(self.clock, node, settings)
        self.daemon.start()
        self.port = self.daemon.caller_port.getHost().port
        self.callers = []

    def call(self, request, *, reads=True):
        """Open a connection, send bytes and return the caller."""
        caller = RawCaller(request, reads=reads)
        factory = ClientFactory()
        factory.protocol = lambda: caller
        factory.noisy = False
        reactor.connectTCP('127.0.0.1', self.port, factory)
        self.callers.append(caller)
        return caller

    def refused(self):
        """Return whether a new connection is refused."""
        factory = RefusalCounter()
        factory.noisy = False
        reactor.connectTCP('127.0.0.1', self.port, factory)
        run_reactor_until(lambda: factory.refused)
        return factory.refused == 1

    def advance(self, seconds):
        """Advance the virtual clock and deliver pending bytes."""
        step = 0.001 if seconds < 1 else 0.01
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
        self.deliver_pending()

    def deliver_pending(self):
        """Run the reactor until pending bytes are delivered."""
        for _ in range(_REACTOR_TURNS):
            reactor.iterate(0)

    def close(self):
        """Close connections that a scenario left open."""
        self.daemon.caller_port.factory.channels.abort()
        for caller in self.callers:
            if not caller.closed:
                caller.transport.abortConnection()
        self.deliver_pending()

    def _log(self, event, level='info', **fields):
        self.events.append(event.name)
