"""Builders of a host that reaches an upstream through a peer, on loopback."""

from dataclasses import replace
from random import Random

from twisted.internet import reactor
from twisted.internet.defer import maybeDeferred
from twisted.internet.protocol import Factory, Protocol

from features.builders.loop import result_of
from pollenstile.forward import HttpClient
from pollenstile.forward._members import PeerHost
from pollenstile.tunnel import Paths, Tunnels, TunnelServer
from pollenstile.tunnel._messages import decode_answer, encode_answer

_HOST = '127.0.0.1'
HEAD = b'HTTP/1.1 200 OK\r\n'


class _UpstreamProtocol(Protocol):
    """Records what it receives and answers as the test has set."""

    def connectionMade(self):
        self.factory.story.upstream_connections.append(self)
        self.ended = False

    def dataReceived(self, received):
        story = self.factory.story
        story.received += received
        if story.reply and b'\r\n\r\n' in story.received:
            story.received = b''
            self.transport.write(story.reply)
            story.after_reply(self.transport)

    def connectionLost(self, reason):
        self.ended = True


class TunnelStory:
    """A host, the server of a peer and an upstream.

    Parameters
    ==========

    address : str
        ``IP:PORT`` of another upstream to use; empty for that of the story.

    Attributes
    ==========

    reply : bytes
        Answer of the upstream; empty for none.
    after_reply : function
        Called with the upstream's transport after the answer.
    received : bytes
        What the upstream received since its last answer.
    upstream_connections : list
        Connections that the upstream accepted.
    body : list of bytes
        Received parts of the answer.
    ends : list of BodyEnd
        How the answer ended.
    is_older : bool
        Whether the peer doesn't say that it confirms ends.
    """

    def __init__(self, address=''):
        self.reply = b''
        self.after_reply = _keep_open
        self.received = b''
        self.upstream_connections = []
        self.body = []
        self.ends = []
        self.is_older = False
        factory = Factory.forProtocol(_UpstreamProtocol)
        factory.story = self
        self.upstream = reactor.listenTCP(0, factory, interface=_HOST)
        own_address = f'{_HOST}:{self.upstream.getHost().port}'
        self.address = address or own_address
        self.server = TunnelServer(
            reactor, {self.address}.__contains__, _has_path
        )
        self.port = self.server.listen(_HOST, 0)
        self.server.address = f'{_HOST}:{self.port.getHost().port}'
        self.client = HttpClient(reactor)
        tunnels = Tunnels(
            'host',
            reactor,
            Random(1),
            self._ask,
            {'peer': PeerHost('', 'd')},
            _has_path,
        )
        self.client.paths = Paths(reactor, tunnels, _ignore, _ignore)
        self.client.paths.lost = _AllLost()

    def send(self, body=b''):
        """Send a request; return its call."""
        method = b'POST' if body else b'GET'
        return self.client.send(
            self.address, method, b'/', [(b'host', b'h')], body
        )

    def fetch(self, body=b''):
        """Send a request and receive the answer's body until its end."""
        call = self.send(body)
        call.head.addCallback(call.deliver, self.body.append, self.ends.append)
        return call

    def stop(self):
        """Close all ports and connections."""
        for connection in self.upstream_connections:
            connection.transport.abortConnection()
        for port in (self.port, self.upstream):
            result_of(maybeDeferred(port.stopListening))

    def _ask(self, peer, subject, body, timeout, address):
        answered = maybeDeferred(self.server.answer, 'host', body)
        return answered.addCallback(_older) if self.is_older else answered


def _older(encoded):
    """Return an answer as peers sent it that confirmed no ends."""
    answer = replace(decode_answer(encoded), confirms=False)
    return encode_answer(answer)


class _AllLost:
    """Lost paths that hold each address, and need not be tried again."""

    def __contains__(self, address):
        return True

    def get(self, address):
        """Return a path that was just tried."""
        return _JustTried()

    def pop(self, address, default):
        """Return the default: no path is found again."""
        return default


class _JustTried:
    """A lost path that is not due."""

    tried_at = float('inf')


def _has_path(address):
    """Return False: no path of the peer is lost."""
    return False


def _keep_open(transport):
    """Do nothing."""


def _ignore(address):
    """Do nothing."""
