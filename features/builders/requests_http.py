"""Builders of upstreams and calls over real connections."""

from random import Random

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.web.resource import Resource
from twisted.web.server import Site

from features.builders.loop import collect_result, run_reactor_until
from features.builders.requests import (
    TEAM,
    TOKENS,
    SentRequest,
    requests_manifest,
)
from pollenstile.entry import build_node
from pollenstile.manifest import text_from_manifest
from pollenstile.ops.http import site_for
from pollenstile.ops.settings import ENTRY, settings_from
from pollenstile.pipeline import Request, run_request
from pollenstile.standin.plain import PlainResource, PlainServer
from pollenstile.upstream import (
    Call,
    ConnectionPools,
    http_transport,
    wire,
)

LOOPBACK = '127.0.0.1'


class ConnectionCounter:
    """Counts connections that a factory accepted, and those closed again."""

    __slots__ = ('lost', 'made')

    def __init__(self):
        self.made = 0
        self.lost = 0

    def watch(self, factory):
        """Count the connections of a factory; return it."""
        build = factory.buildProtocol

        def counted(address):
            protocol = build(address)
            self.made += 1
            lose = protocol.connectionLost

            def lost(reason):
                self.lost += 1
                lose(reason)

            protocol.connectionLost = lost
            return protocol

        factory.buildProtocol = counted
        return factory


class RawServer(Protocol):
    """HTTP server protocol that answers requests with a function."""

    def __init__(self, reply):
        self.reply = reply
        self.buffer = b''
        self.answered = 0

    def dataReceived(self, data):
        """Answer a request when its body is complete."""
        self.buffer += data
        head, _, body = self.buffer.partition(b'\r\n\r\n')
        if not body or not body.endswith(b'}'):
            return
        self.buffer = b''
        self.answered += 1
        self.reply(self, head.decode(), body)


def raw_factory(reply):
    """Return a factory of :class:`RawServer`."""
    factory = Factory()
    factory.buildProtocol = lambda address: RawServer(reply)
    return factory


def find_header(head, name):
    """Return the value of a header in a request's head, or empty text."""
    for line in head.split('\r\n')[1:]:
        key, _, value = line.partition(': ')
        if key.lower() == name:
            return value
    return ''


def answer(protocol, status, body, headers=(), length=None):
    """Write an answer; ``length`` overrides its Content-Length."""
    stated = len(body) if length is None else length
    lines = [f'HTTP/1.1 {status} Whatever', f'Content-Length: {stated}']
    lines.extend(headers)
    head = '\r\n'.join(lines)
    protocol.transport.write(f'{head}\r\n\r\n'.encode() + body)


def plain_body(attempt):
    """Return the body of a valid reply to a plain call."""
    return wire.encode_json(wire.PlainReply(attempt, {'for': attempt}))


def listening(factory):
    """Return a listening port on the loopback interface."""
    return reactor.listenTCP(0, factory, interface=LOOPBACK)


def serving(protocol, server):
    """Return a port whose connections find a server at their factory.

    Parameters
    ==========

    protocol : type
        Protocol of the connections.
    server : object
        What their factory has as its ``server``.
    """
    factory = Factory.forProtocol(protocol)
    factory.noisy = False
    factory.server = server
    return listening(factory)


def plain_server():
    """Return a stand-in for an upstream of a stage pool."""
    return PlainServer(reactor, 'encoder', 0.001, 8)


def plain_site(server):
    """Return the HTTP site of a stand-in."""
    return site_for(PlainResource(server), reactor)


class StartedCall:
    """One started call and its events."""

    __slots__ = ('attempt', 'cancel', 'events')

    def __init__(self, attempt):
        self.attempt = attempt
        self.cancel = None
        self.events = []


class Caller:
    """Makes calls over HTTP and records how each one ended."""

    __slots__ = (
        'address',
        'ends',
        'numbers',
        'pools',
        'rates',
        'start',
        'statements',
    )

    def __init__(self, port):
        self.address = f'{LOOPBACK}:{port.getHost().port}'
        self.pools = ConnectionPools(reactor)
        self.start = http_transport(
            reactor, pools=self.pools, note_answer=self._note_answer
        )
        self.rates = []
        self.statements = []
        self.ends = []
        self.numbers = 0

    def call(self, *, idempotent=True, kind='stage', fresh=False):
        """Start a call."""
        self.numbers += 1
        attempt = f'r{self.numbers}/encode/1'
        call = Call(
            attempt,
            'encode',
            kind,
            'leak',
            1000,
            idempotent=idempotent,
            fresh=fresh,
        )
        made = StartedCall(attempt)
        made.cancel = self.start('one', self, call, made.events.append)
        return made

    def _note_answer(self, name, statements):
        self.rates.append((name, statements.rates, statements.is_proof))
        self.statements.append(statements)

    def call_and_wait(self, **options):
        """Make a call; return its attempt and its last event."""
        made = self.call(**options)
        run_reactor_until(lambda: made.events)
        self.ends.append((made.attempt, made.events[-1]))
        return self.ends[-1]


def build_node_calling(port):
    """Return a node that sends the calls to all upstreams to one port."""
    environment = {'POLLENSTILE_HOST': 'h', 'POLLENSTILE_DOMAIN': 'here'}
    caller = Caller(port)
    http_start = http_transport(reactor, pools=caller.pools)

    def transport(name, upstream, call, sink):
        return http_start(name, caller, call, sink)

    node = build_node(
        reactor,
        Random(1),
        settings_from(None, ENTRY, environment),
        transport,
    )
    node.core.close_idle = lambda upstream: caller.pools.close_idle(caller)
    text = text_from_manifest(requests_manifest(1))
    node.in_force.offer(1, text, 'test')
    return node


def start_request(node, name):
    """Start a request; return its record."""
    request = Request(
        node.next_ident(),
        name,
        node.in_force.snapshot,
        TEAM,
        'leak',
        node.core.clock.seconds() + 1.0,
    )
    sent = SentRequest(request)
    sent.outcomes = collect_result(
        run_request(node.core, request, sent.tokens.append),
    )
    return sent


def run_to_outcome(node, name):
    """Run a request to its end; return its record."""
    sent = start_request(node, name)
    run_reactor_until(lambda: sent.outcomes)
    return sent


class RepeatingEngine(Resource):
    """An engine that sends each token twice."""

    isLeaf = True

    def render_POST(self, request):
        """Return the complete event stream at once."""
        attempt = request.getHeader(wire.ATTEMPT_HEADER)
        parts = []
        for offset in range(TOKENS):
            event = wire.CompletionEvent(
                attempt,
                [wire.Choice(f'w{offset} ')],
                offset,
            )
            parts.extend([event, event])
        parts.append(
            wire.CompletionEvent(attempt, [], TOKENS, wire.Usage(TOKENS)),
        )
        lines = [b'data: %s\n\n' % wire.encode_json(part) for part in parts]
        return b''.join(lines) + b'data: %s\n\n' % wire.DONE


def repeating_engine_site():
    """Return the HTTP site of an engine that sends each token twice."""
    return Site(RepeatingEngine())
