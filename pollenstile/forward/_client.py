"""Sending one request to an upstream, on a connection of its own.

Explanation
===========

A kept connection can have gone silent, can be closed by the upstream as the
request goes out, or can bring a late second answer of an earlier request. Each
leaves a request that may have run without an answer that is surely its own.
A new connection costs one round trip and has none of these faults.

The library's ``Agent`` rebuilds targets (an empty query is lost), so requests
are handed to its protocol directly.
"""

import enum

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request, ResponseDone
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.ops.body import BytesProducer

# Seconds for a handshake, of which a sound one takes under 10 ms. An upstream
# that is cut off never answers, and a lost packet is sent again only after a
# second; nothing was sent by then, so another upstream is tried.
CONNECT_SECONDS = 0.35


class ProbeResult(enum.Enum):
    """What comes of opening a connection."""

    ACCEPTED = 'accepted'
    # Nobody listens there.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class _Connection(HTTP11ClientProtocol):
    """Remembers how the connection ended: by a close or by a reset."""

    def connectionLost(self, reason):
        """End; called by twisted."""
        self.closed_cleanly = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)


class _Connector(ClientFactory):
    noisy = False

    def __init__(self, call):
        self.call = call

    def buildProtocol(self, address):
        """Return the connection; called by twisted."""
        protocol = _Connection()
        protocol.closed_cleanly = False
        self.call.connecting(protocol)
        return protocol

    def clientConnectionFailed(self, connector, reason):
        """Note that nothing answers; called by twisted."""
        self.call.unreached(reason.type.__name__)


class _Greeting(Protocol):
    """Closes a connection as soon as it is made."""

    def connectionMade(self):
        """Note that somebody listens; called by twisted."""
        self.factory.done.callback(ProbeResult.ACCEPTED)
        self.transport.abortConnection()


class _Greeter(ClientFactory):
    protocol = _Greeting
    noisy = False

    def __init__(self):
        self.done = Deferred()

    def clientConnectionFailed(self, connector, reason):
        """Note why there is no connection; called by twisted."""
        refused = reason.check(ConnectionRefusedError) is not None
        self.done.callback(
            ProbeResult.REFUSED if refused else ProbeResult.UNKNOWN
        )


class _Body(Protocol):
    """Hands a body's bytes on, and how it ended."""

    def __init__(self, call, on_data, on_end):
        self.call = call
        self.on_data = on_data
        self.on_end = on_end

    def dataReceived(self, data):
        """Take bytes; called by twisted."""
        if not self.call.cancelled:
            self.on_data(data)

    def connectionLost(self, reason):
        """End; called by twisted."""
        if self.call.cancelled:
            return
        whole = reason.check(ResponseDone) is not None
        # A body without a length ends with its connection. Reset in the
        # middle, it looks the same to the parser.
        if reason.check(PotentialDataLoss):
            whole = self.call.protocol.closed_cleanly
        self.call.close()
        self.on_end(BodyEnd.COMPLETE if whole else BodyEnd.BROKEN)


class Call:
    """One request under way.

    Attributes
    ==========

    head : Deferred
        Of the library's response, :class:`NotRun` or :class:`Lost`.
    """

    __slots__ = (
        'address',
        'cancelled',
        'connector',
        'head',
        'protocol',
        'request',
        'sent',
    )

    def __init__(self, request, address):
        self.request = request
        self.address = address
        self.head = Deferred(lambda _: self.cancel())
        self.protocol = None
        self.connector = None
        self.cancelled = False
        self.sent = False

    def connecting(self, protocol):
        """Send once the handshake is done."""
        self.protocol = protocol
        made = protocol.connectionMade

        def connected():
            made()
            protocol.transport.setTcpNoDelay(True)
            if self.cancelled:
                protocol.transport.abortConnection()
                return
            self.sent = True
            response = protocol.request(self.request)
            response.addCallbacks(self._headed, self._failed)

        protocol.connectionMade = connected

    def unreached(self, reason):
        """Note that no connection was made: nothing was sent."""
        if not self.head.called and not self.cancelled:
            self.head.callback(NotRun(reason, self.address, arrived=False))

    def deliver(self, response, on_data, on_end):
        """Hand the body over; return its producer.

        Parameters
        ==========

        on_data, on_end : function
            Take bytes; take a :class:`BodyEnd`, last.
        """
        body = _Body(self, on_data, on_end)
        response.deliverBody(body)
        return body.transport

    def cancel(self):
        """Close the connection at once; nothing more is handed over."""
        self.cancelled = True
        self.close()

    def close(self):
        """Close the connection; it is never used again."""
        transport = self.protocol.transport if self.protocol else None
        if transport is not None:
            transport.abortConnection()
        elif self.connector.state == 'connecting':
            self.connector.stopConnecting()

    def _headed(self, response):
        if not self.cancelled and not self.head.called:
            self.head.callback(response)

    def _failed(self, failure):
        self.close()
        if self.cancelled or self.head.called:
            return
        self.head.callback(Lost(_reason(failure), self.address, broken=True))


def _reason(failure: Failure):
    if failure.check(ResponseFailed):
        reasons = failure.value.reasons
        return reasons[0].type.__name__ if reasons else 'no answer'
    if failure.check(CancelledError):
        return 'cancelled'
    return failure.type.__name__


class HttpClient:
    """Sends requests to upstreams.

    Parameters
    ==========

    reactor : IReactorTCP
        Makes connections.
    """

    __slots__ = ('reactor',)

    def __init__(self, reactor):
        self.reactor = reactor

    def probe(self, address):
        """Open a connection and close it; return a Deferred of ``ProbeResult``."""
        greeter = _Greeter()
        host, _, port = address.rpartition(':')
        self.reactor.connectTCP(
            host, int(port), greeter, timeout=CONNECT_SECONDS
        )
        return greeter.done

    def send(self, address, method, target, headers, body):
        """Send a request once; return its :class:`Call`.

        Parameters
        ==========

        address : str
            ``IP:PORT``.
        method, target : bytes
            Untouched.
        headers : list of tuple
            Names and values, the host name among them.
        body : bytes
            Empty for none.
        """
        lines = Headers()
        for name, content in headers:
            lines.addRawHeader(name, content)
        producer = BytesProducer(body) if body else None
        request = Request(method, target, lines, producer, persistent=False)
        call = Call(request, address)
        host, _, port = address.rpartition(':')
        connector = self.reactor.connectTCP(
            host,
            int(port),
            _Connector(call),
            timeout=CONNECT_SECONDS,
        )
        call.connector = connector
        return call
