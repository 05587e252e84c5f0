"""Builders of servers whose answers have no end, and of what reads them."""

from twisted.internet import reactor
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import Factory, Protocol
from zope.interface import implementer

from features.builders.loop import collect_result, run_reactor_until

LOOPBACK = '127.0.0.1'
# Bytes after which a server that is still read stops, so that a reader without
# a bound fails the scenario soon. Buffers of the sockets hold a part of them.
ENOUGH_BYTES = 16_000_000
_PART_BYTES = 65536
_OK = b'HTTP/1.1 200 OK\r\n'
_PLAIN = b'%sContent-Type: application/json\r\n\r\n' % _OK
_FAILED = b'HTTP/1.1 500 Internal Server Error\r\n\r\n'


def _filled(piece):
    return piece * (_PART_BYTES // len(piece))


# What a server sends first, and then again and again, by the name of the form.
FORMS = {
    'a body': (_PLAIN, _filled(b' ')),
    'a body of a failure': (_FAILED, _filled(b' ')),
    'header lines': (
        _OK,
        _filled(b'X-Fill: %s\r\n' % bytes(90).hex().encode()),
    ),
    'interim heads': (b'', _filled(b'HTTP/1.1 100 Continue\r\n\r\n')),
    'comments': (_PLAIN, _filled(b': fill\n\n')),
    'an event': (_PLAIN, _filled(b'a')),
}


@implementer(IPullProducer)
class _Endless(Protocol):
    """Answers a request without end, as fast as the other side reads."""

    def connectionMade(self):
        """Wait for a request; called by Twisted."""
        self.received = b''
        self.factory.server.open += 1

    def dataReceived(self, data):
        """Start the answer once the head has arrived; called by Twisted."""
        head_was_there = b'\r\n\r\n' in self.received
        self.received += data
        if head_was_there or b'\r\n\r\n' not in self.received:
            return
        server = self.factory.server
        server.requests += 1
        self.transport.write(server.first)
        self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Send one more part; called by Twisted."""
        server = self.factory.server
        if server.sent_bytes >= ENOUGH_BYTES:
            self.transport.unregisterProducer()
            return
        server.sent_bytes += len(server.part)
        self.transport.write(server.part)

    def stopProducing(self):
        """Do nothing, as the connection is closed; called by Twisted."""

    def connectionLost(self, reason):
        """Count the closed connection; called by Twisted."""
        self.factory.server.open -= 1


class EndlessServer:
    """A server on loopback whose answers have no end.

    Parameters
    ==========

    form : str
        Name of one of :data:`FORMS`.

    Attributes
    ==========

    sent_bytes : int
        Bytes sent on all connections, the first ones of an answer left out.
    requests : int
        Requests received.
    open : int
        Open connections.
    """

    def __init__(self, form):
        self.first, self.part = FORMS[form]
        self.sent_bytes = 0
        self.requests = 0
        self.open = 0
        factory = Factory.forProtocol(_Endless)
        factory.noisy = False
        factory.server = self
        self.port = reactor.listenTCP(0, factory, interface=LOOPBACK)

    @property
    def address(self):
        """Address of the server, ``IP:PORT``."""
        return f'{LOOPBACK}:{self.port.getHost().port}'

    def outcome_of(self, work):
        """Return the outcome of work, or None if it reads on without end."""
        outcomes = collect_result(work)
        self.wait_for(lambda: outcomes)
        return outcomes[0] if outcomes else None

    def wait_for(self, condition):
        """Wait until a condition holds or the server has sent enough."""
        run_reactor_until(
            lambda: condition() or self.sent_bytes >= ENOUGH_BYTES
        )

    def wait_until_closed(self):
        """Wait until no connection is open."""
        run_reactor_until(lambda: not self.open)
