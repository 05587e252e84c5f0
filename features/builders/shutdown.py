"""Builders of an entry host with a virtual clock and real sockets."""

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.internet.task import Clock

from features.builders.entrynode import (
    BOOK_STAGE,
    CHAT_STAGE,
    TEAM,
    EntryHost,
    caller_request,
    entry_manifest,
    key_headers,
    one_upstream_pool,
    started_daemon,
    virtual_upstreams,
)
from features.builders.loop import run_reactor_until
from pollenstile.manifest import Pipeline
from pollenstile.standin.objectapi import MemoryStore

_KEY = b'shutdown-key'
_REACTOR_TURNS = 25


def _manifest():
    pools = {
        'engines': one_upstream_pool('engine', 'e1', 1, models=['demo']),
        'booking': one_upstream_pool('service', 'b1', 2),
    }
    pipelines = {
        'chat': Pipeline(60000, [TEAM], [CHAT_STAGE]),
        'log-minutes': Pipeline(60000, [TEAM], [BOOK_STAGE], idempotent=False),
    }
    return entry_manifest('shutdown', _KEY, pools, pipelines)


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
    return caller_request(
        f'/v1/pipelines/{pipeline}',
        _KEY,
        b'{"input": %s}' % content,
        b'Accept: text/event-stream',
        *key_headers(key),
    )


class ListeningHost:
    """One listening entry host with virtual upstreams."""

    def __init__(self):
        self.clock = SocketClock()
        self.clock.advance(1000.0)
        self.store = MemoryStore(self.clock)
        self.store.latency = 0.005
        self.events = []
        kinds = {'e1': 'engine', 'b1': 'service'}
        self.upstreams = virtual_upstreams(self.clock, kinds)
        addresses = {
            'POLLENSTILE_LISTEN': '127.0.0.1:0',
            'POLLENSTILE_ADMIN': '127.0.0.1:0',
        }
        host = EntryHost('h1', _manifest(), self.upstreams, addresses)
        self.daemon = started_daemon(self.clock, host, self.store, self._log)
        self.node = self.daemon.node
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
