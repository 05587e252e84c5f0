"""Builders of a forwarding host on loopback: callers, an upstream, a store."""

from random import Random

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from features.builders.loop import turned_until
from pollenstile.forward import (
    ForwardCore,
    HeaderNames,
    HttpClient,
    Registry,
    SharedRetryBudget,
    Upstream,
)
from pollenstile.forward._frontend import CallerFactory
from pollenstile.routes import Kind, Limits, Route, RouteTable, Target, Team

KEY = 'secret'


class _Upstream(Protocol):
    """Answers each request with the bytes that the test has set."""

    def connectionMade(self):
        self.received = b''

    def dataReceived(self, data):
        self.received += data
        host = self.factory.host
        if b'\r\n\r\n' not in self.received:
            return
        host.seen.append(self.received)
        self.received = b''
        self.transport.write(host.reply)
        if host.closes:
            self.transport.loseConnection()


class _Caller(Protocol):
    """Keeps what it receives."""

    def connectionMade(self):
        self.factory.talk.wire = self.transport
        self.transport.write(self.factory.talk.request)

    def dataReceived(self, data):
        self.factory.talk.received += data

    def connectionLost(self, reason):
        self.factory.talk.closed = True


class Talk:
    """One caller's connection."""

    def __init__(self, request):
        self.request = request
        self.received = b''
        self.closed = False
        self.wire = None


class _Configuration:
    """A route table in force; the test says what is proven of it."""

    def __init__(self, table):
        self.table = table
        self.verified = True
        self.current = True

    def is_current(self):
        """Return what the test says."""
        return self.current

    def is_verified(self):
        """Return what the test says."""
        return self.verified

    def age_ms(self):
        """Return 0: the proof is of now."""
        return 0


class ForwardHost:
    """A host, one upstream, and callers' connections to it.

    Attributes
    ==========

    reply : bytes
        What the upstream answers.
    closes : bool
        Whether the upstream then closes its connection.
    seen : list of bytes
        Requests as they reached the upstream.
    """

    def __init__(self, limits=None):
        self.reply = b''
        self.closes = False
        self.seen = []
        upstream = Factory.forProtocol(_Upstream)
        upstream.host = self
        self.upstream = reactor.listenTCP(0, upstream, interface='127.0.0.1')
        registry = Registry(reactor)
        port = self.upstream.getHost().port
        registry.apply('i1', Upstream('i1', 'desk', f'127.0.0.1:{port}', 'd'))
        registry.known = True
        self.configuration = _Configuration(_table(limits or Limits()))
        core = ForwardCore(
            reactor,
            Random(1),
            'd',
            HttpClient(reactor),
            registry,
            self.configuration,
            SharedRetryBudget(reactor, 0.2, 58, 10),
            None,
            HeaderNames(),
        )
        self.factory = CallerFactory(core, reactor)
        self.face = reactor.listenTCP(0, self.factory, interface='127.0.0.1')

    def talk(self, request):
        """Open a connection and send bytes."""
        talk = Talk(request)
        talk_to(self.face.getHost().port, talk)
        return talk

    def answered(self, request, until=b'\r\n\r\n'):
        """Return what a caller receives, up to some bytes or the close."""
        talk = self.talk(request)
        turned_until(lambda: until in talk.received or talk.closed)
        return talk

    def stop(self):
        """Close all."""
        _stopped(self.face)
        _stopped(self.upstream)
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()


def talk_to(port, talk):
    """Open a caller's connection to a port of loopback."""
    factory = ClientFactory.forProtocol(_Caller)
    factory.noisy = False
    factory.talk = talk
    reactor.connectTCP('127.0.0.1', port, factory)


def _stopped(port):
    ended = Deferred()
    port.stopListening().addBoth(ended.callback)
    turned_until(lambda: ended.called)


def _table(limits):
    plain = Route(
        'plain',
        'host',
        '/a/',
        Kind.ONCE,
        5.0,
        1.0,
        targets=(Target('desk'),),
    )
    return RouteTable(
        3,
        {'host': (plain,)},
        keys={KEY: Team('team-a')},
        limits=limits,
    )


def request(path=b'/a/?', extra=b'', key=KEY, body=b''):
    """Return the bytes of a request; ``extra`` are header lines."""
    return (
        b'POST %s HTTP/1.1\r\nHost: host\r\nX-Attempt: a1\r\n'
        b'Authorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s'
        % (path, key.encode(), extra, len(body), body)
    )
