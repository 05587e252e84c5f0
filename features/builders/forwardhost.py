"""Builders of a forwarding host, an upstream and callers on loopback."""

from random import Random

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from features.builders.framing import split_answer
from features.builders.loop import run_reactor_until
from pollenstile.forward import (
    ForwardCore,
    HeaderNames,
    HttpClient,
    PlainCodec,
    Registry,
    SharedRetryBudget,
    Upstream,
)
from pollenstile.forward._frontend import CallerFactory
from pollenstile.routes import Kind, Limits, Route, RouteTable, Target, Team

KEY = 'secret'
# Services of the split route; the second one has no upstream.
_SPLIT = ('desk', 'empty')
# A question to an upstream without reports, and its answer.
_REPORT = b'GET %s HTTP/1.1\r\n' % PlainCodec.report_target
_NO_REPORT = b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'


class _UpstreamProtocol(Protocol):
    """Answers each request with the bytes that the test has set."""

    def connectionMade(self):
        self.received = b''
        self.factory.host.accepted.append(self.transport)

    def dataReceived(self, data):
        self.received += data
        host = self.factory.host
        if b'\r\n\r\n' not in self.received:
            return
        is_question = self.received.startswith(_REPORT)
        if is_question and not host.has_reports:
            # A host asks whether the process lives on.
            self.transport.write(_NO_REPORT)
            self.transport.loseConnection()
            return
        host.seen.append(self.received)
        self.received = b''
        self.transport.write(host.next_reply())
        if host.resets:
            self.transport.abortConnection()
        elif host.closes:
            self.transport.loseConnection()


class _CallerProtocol(Protocol):
    """Sends a request and stores the received bytes."""

    def connectionMade(self):
        self.factory.connection.transport = self.transport
        self.transport.write(self.factory.connection.request)

    def dataReceived(self, data):
        self.factory.connection.received += data

    def connectionLost(self, reason):
        self.factory.connection.closed = True


class CallerConnection:
    """A caller's connection: the request and the received bytes."""

    def __init__(self, request):
        self.request = request
        self.received = b''
        self.closed = False
        self.transport = None


class _Configuration:
    """A route table in force, whose verification state the test sets."""

    def __init__(self, table):
        self.table = table
        self.verified = True
        self.current = True

    def is_current(self):
        """Return the value that the test has set."""
        return self.current

    def is_verified(self):
        """Return the value that the test has set."""
        return self.verified

    def age_ms(self):
        """Return 0, as the configuration is always just verified."""
        return 0


class ForwardHost:
    """A host with one upstream, and the connections of callers to it.

    Attributes
    ==========

    reply : bytes
        Answer of the upstream.
    first_replies : list of bytes
        Answers to the first requests, before :attr:`reply`.
    closes, resets : bool
        Whether the upstream closes or resets its connection after the answer.
    seen : list of bytes
        Requests received by the upstream.
    accepted : list of ITransport
        Connections that the upstream has accepted, in their order.
    has_reports : bool
        Whether requests for a report are answered like others; without, such
        a question gets 404 and is not recorded.
    """

    has_reports = False

    def __init__(self, limits=None, upstreams=1):
        self.reply = b''
        self.first_replies = []
        self.closes = False
        self.resets = False
        self.seen = []
        self.accepted = []
        upstream = Factory.forProtocol(_UpstreamProtocol)
        upstream.host = self
        self.upstream = reactor.listenTCP(0, upstream, interface='127.0.0.1')
        registry = Registry(reactor)
        for number in range(1, upstreams + 1):
            registry.apply(
                f'i{number}',
                Upstream(f'i{number}', 'desk', self.upstream_address, 'd'),
            )
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
        self.callers_port = reactor.listenTCP(
            0, self.factory, interface='127.0.0.1'
        )

    @property
    def upstream_address(self):
        """Address of the upstream, ``IP:PORT``."""
        return f'127.0.0.1:{self.upstream.getHost().port}'

    def next_reply(self):
        """Return the answer to the next request."""
        return self.first_replies.pop(0) if self.first_replies else self.reply

    def send(self, request):
        """Open a connection and send bytes; return the connection."""
        connection = CallerConnection(request)
        open_connection(self.callers_port.getHost().port, connection)
        return connection

    def exchange(self, request, until=b'\r\n\r\n'):
        """Send bytes; wait for an answer with some bytes or for the close."""
        connection = self.send(request)
        run_reactor_until(
            lambda: until in connection.received or connection.closed
        )
        return connection

    def exchange_whole(self, request):
        """Send bytes; wait for a whole answer or for the close."""
        connection = self.send(request)
        run_reactor_until(
            lambda: split_answer(connection.received)[-1] or connection.closed
        )
        return connection

    def stop(self):
        """Close all ports and connections."""
        _stop_listening(self.callers_port)
        _stop_listening(self.upstream)
        for channel in list(self.factory.channels):
            channel.transport.abortConnection()


def open_connection(port, connection):
    """Open a caller's connection to a port on loopback."""
    factory = ClientFactory.forProtocol(_CallerProtocol)
    factory.noisy = False
    factory.connection = connection
    reactor.connectTCP('127.0.0.1', port, factory)


def _stop_listening(port):
    stopped = Deferred()
    port.stopListening().addBoth(stopped.callback)
    run_reactor_until(lambda: stopped.called)


def _table(limits):
    routes = (
        _route('plain', Kind.ONCE),
        _route('stream', Kind.STREAM),
        _route('resumable', Kind.STREAM, resumable=True),
        _route('lookup', Kind.IDEMPOTENT),
        _route('split', Kind.STREAM, resumable=True, services=_SPLIT),
    )
    return RouteTable(
        3,
        {'host': routes},
        keys={KEY: Team('team-a')},
        limits=limits,
    )


def _route(name, kind, *, resumable=False, services=('desk',)):
    """Return a route; the path of the plain one begins with ``/a/``."""
    prefix = '/a/' if name == 'plain' else f'/{name}/'
    return Route(
        name,
        'host',
        prefix,
        kind,
        5.0,
        1.0,
        targets=tuple(map(Target, services)),
        attempts=2,
        resumable=resumable,
    )


def request(path=b'/a/?', extra=b'', key=KEY, body=b'', ident=b'a1'):
    """Return the bytes of a request; ``extra`` holds further header lines."""
    return (
        b'POST %s HTTP/1.1\r\nHost: host\r\nX-Attempt: %s\r\n'
        b'Authorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s'
        % (path, ident, key.encode(), extra, len(body), body)
    )
