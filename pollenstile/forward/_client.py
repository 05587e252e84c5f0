"""HTTP client that sends each request to an upstream on a new connection.

Explanation
===========

A reused connection may have become unresponsive, may be closed by the upstream
while the request is sent, or may deliver a late second response to an earlier
request. In each case the request may have run, but no response can be assigned
to it with certainty. A new connection costs one round trip and avoids these
faults.

Twisted's ``Agent`` rebuilds request targets and drops an empty query, so
requests are passed to its protocol directly.
"""

import enum

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
)
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol, Request, ResponseDone
from twisted.web.client import ResponseFailed
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers

from pollenstile.forward._bounds import ENDLESS_HEAD, MAX_HEAD_BYTES
from pollenstile.forward._types import BodyEnd, Lost, NotRun
from pollenstile.ops.body import BytesProducer
from pollenstile.reachability import ALL_REACHABLE
from pollenstile.tunnel import DIRECT_PATHS, EndedFrames, OpenResult

# Timeout of the TCP handshake, which normally takes under 10 ms. An unreachable
# upstream never answers, and TCP retransmits a lost packet only after a second.
# No request has been sent by then, so another upstream can be tried.
CONNECT_SECONDS = 0.35


class ProbeResult(enum.Enum):
    """Outcome of opening a probe connection."""

    ACCEPTED = 'accepted'
    # No process listens on the port.
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class _Connection(HTTP11ClientProtocol):
    """Bounds the head of the answer and records how the connection ended.

    Attributes
    ==========

    on_endless_head : function or None
        Called when the head is over its bound; None once it was received.
    head_bytes : int
        Bytes received so far, while the head is awaited.
    """

    def __init__(self):
        super().__init__()
        self.on_endless_head = None
        self.head_bytes = 0

    def dataReceived(self, received):
        """Parse received bytes; called by Twisted."""
        super().dataReceived(received)
        if self.on_endless_head is None:
            return
        # The parser bounds one line, but neither their number nor that of the
        # interim heads.
        self.head_bytes += len(received)
        if self.head_bytes > MAX_HEAD_BYTES:
            self.on_endless_head()

    def connectionLost(self, reason):
        """Record how the connection ended; called by Twisted."""
        self.closed_cleanly = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)


class _TunnelConnection(_Connection):
    """Connection through a peer, which passes on the upstream's bytes."""

    def __init__(self, token):
        super().__init__()
        self.token = token
        self.frames = EndedFrames()

    def connectionMade(self):
        """Pick up the connection to the upstream; called by Twisted."""
        self.transport.write(self.token)
        super().connectionMade()

    def dataReceived(self, received):
        """Pass on the upstream's bytes; called by Twisted."""
        content = self.frames.feed(received)
        if content:
            super().dataReceived(content)

    def connectionLost(self, reason):
        """End as the upstream's connection has ended; called by Twisted."""
        kind = ConnectionDone if self.frames.ended else ConnectionLost
        super().connectionLost(Failure(kind()))


class _Connector(ClientFactory):
    """Gives a call the protocol of its connection, or reports the failure."""

    noisy = False

    def __init__(self, call, protocol):
        self.call = call
        self.call_protocol = protocol

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.call_protocol.closed_cleanly = False
        self.call.attach(self.call_protocol)
        return self.call_protocol

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        self.call.fail_connection(reason.type.__name__)


class _DirectConnector(_Connector):
    """Opens the connection to the upstream itself, and notes whether it did."""

    def __init__(self, call, paths, domains):
        super().__init__(call, _Connection())
        self.paths = paths
        self.domains = domains

    def buildProtocol(self, address):
        """Return the protocol of the connection; called by Twisted."""
        self.paths.note_opened(self.call.address)
        self.domains.note_reached(self.call.address)
        return super().buildProtocol(address)

    def clientConnectionFailed(self, connector, reason):
        """Report that no connection was made; called by Twisted."""
        if not self.call.cancelled:
            self.paths.note_failed(self.call.address)
        if reason.check(ConnectTimeout):
            self.domains.note_timed_out(self.call.address)
        elif reason.check(ConnectionRefusedError):
            self.domains.note_reached(self.call.address)
        super().clientConnectionFailed(connector, reason)


class _ProbeProtocol(Protocol):
    """Closes a probe connection as soon as it is established."""

    def connectionMade(self):
        """Report that the port accepts connections; called by Twisted."""
        self.factory.done.callback(ProbeResult.ACCEPTED)
        self.transport.abortConnection()


class _ProbeFactory(ClientFactory):
    protocol = _ProbeProtocol
    noisy = False

    def __init__(self):
        self.done = Deferred()

    def clientConnectionFailed(self, connector, reason):
        """Report why no connection was made; called by Twisted."""
        refused = reason.check(ConnectionRefusedError) is not None
        self.done.callback(
            ProbeResult.REFUSED if refused else ProbeResult.UNKNOWN
        )


class _Body(Protocol):
    """Passes on the bytes of a response body and how the body ended."""

    def __init__(self, call, on_data, on_end):
        self.call = call
        self.on_data = on_data
        self.on_end = on_end

    def dataReceived(self, data):
        """Pass on received bytes; called by Twisted."""
        if not self.call.cancelled:
            self.on_data(data)

    def connectionLost(self, reason):
        """Report the end of the body; called by Twisted."""
        if self.call.cancelled:
            return
        body_end = self._body_end(reason)
        self.call.close()
        self.on_end(body_end)

    def _body_end(self, reason):
        if reason.check(ResponseDone):
            return BodyEnd.COMPLETE
        # The parser gives the same reason for an unframed body whose connection
        # was reset.
        if (
            reason.check(PotentialDataLoss)
            and self.call.protocol.closed_cleanly
        ):
            return BodyEnd.CLOSED
        return BodyEnd.BROKEN


class Call:
    """One request in flight.

    Attributes
    ==========

    head : Deferred
        Fires with Twisted's response once the headers are received, or with
        :class:`NotRun` or :class:`Lost`.
    check : function
        Asked when the connection is open. Returns a :class:`NotRun` if the
        request must not be sent any more, or None.
    on_unreached : function
        Called with the address if it is given up before it was sent.
    """

    __slots__ = (
        'address',
        'cancelled',
        'check',
        'connector',
        'head',
        'on_unreached',
        'protocol',
        'request',
        'sent',
    )

    def __init__(self, request, address, on_unreached):
        self.request = request
        self.on_unreached = on_unreached
        self.address = address
        self.head = Deferred(lambda _: self.cancel())
        self.protocol = None
        self.connector = None
        self.cancelled = False
        self.check = _permit
        self.sent = False

    def attach(self, protocol):
        """Send the request once the protocol is connected."""
        self.protocol = protocol
        protocol.on_endless_head = self._on_endless_head
        connection_made = protocol.connectionMade

        def connected():
            connection_made()
            protocol.transport.setTcpNoDelay(True)
            if self.cancelled:
                protocol.transport.abortConnection()
                return
            refusal = self.check()
            if refusal is not None:
                protocol.transport.abortConnection()
                self.head.callback(refusal)
                return
            self.sent = True
            response = protocol.request(self.request)
            response.addCallbacks(self._on_response, self._on_failure)

        protocol.connectionMade = connected

    def fail_connection(self, reason):
        """Report that no connection was made and nothing was sent."""
        if not self.head.called and not self.cancelled:
            self.head.callback(NotRun(reason, self.address, arrived=False))

    def deliver(self, response, on_data, on_end):
        """Deliver the response body; return its producer.

        Parameters
        ==========

        on_data : function
            Called with each received part of the body.
        on_end : function
            Called last, with a :class:`BodyEnd`.
        """
        body = _Body(self, on_data, on_end)
        response.deliverBody(body)
        return body.transport

    def cancel(self):
        """Close the connection at once and deliver nothing more."""
        self.cancelled = True
        self.close()

    def give_up(self):
        """Cancel the call, as the upstream has not answered in time."""
        if not self.sent:
            self.on_unreached(self.address)
        self.cancel()

    def close(self):
        """Close the connection, which is never reused."""
        transport = self.protocol.transport if self.protocol else None
        if transport is not None:
            transport.abortConnection()
        elif self.connector and self.connector.state == 'connecting':
            self.connector.stopConnecting()

    def _on_endless_head(self):
        self.protocol.on_endless_head = None
        self.close()
        if not self.cancelled and not self.head.called:
            self.head.callback(Lost(ENDLESS_HEAD, self.address, endless=True))

    def _on_response(self, response):
        self.protocol.on_endless_head = None
        if not self.cancelled and not self.head.called:
            self.head.callback(response)

    def _on_failure(self, failure):
        self.close()
        if self.cancelled or self.head.called:
            return
        self.head.callback(Lost(_reason(failure), self.address, broken=True))


def _permit():
    """Return None: nothing keeps a request from being sent."""


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
        Opens connections.

    Attributes
    ==========

    paths : Paths
        Knows which upstreams are reached through peers only.
    domains : DomainReachability
        Knows which failure domains are unreachable.
    """

    __slots__ = ('domains', 'paths', 'reactor')

    def __init__(self, reactor):
        self.reactor = reactor
        self.paths = DIRECT_PATHS
        self.domains = ALL_REACHABLE

    def probe(self, address):
        """Open and close a connection; return a Deferred of ``ProbeResult``.

        Explanation
        ===========

        A path may be cut by a refusal, so a peer is asked before an address
        counts as one at which no process listens.
        """
        return Deferred.fromCoroutine(self._probe(address))

    async def probe_directly(self, address):
        """Open and close a connection; return a ``ProbeResult``."""
        factory = _ProbeFactory()
        self._connect(address, factory)
        result = await factory.done
        if result is ProbeResult.ACCEPTED:
            self.paths.note_opened(address)
        if result is not ProbeResult.UNKNOWN:
            self.domains.note_reached(address)
        return result

    def send(self, address, method, target, headers, body):
        """Send a request without retries; return its :class:`Call`.

        Parameters
        ==========

        address : str
            ``IP:PORT``.
        method, target : bytes
            Sent unchanged.
        headers : list of tuple
            Names and values, including the ``Host`` header.
        body : bytes
            Empty for a request without a body.
        """
        raw_headers = Headers()
        for name, content in headers:
            raw_headers.addRawHeader(name, content)
        producer = BytesProducer(body) if body else None
        request = Request(
            method, target, raw_headers, producer, persistent=False
        )
        call = Call(request, address, self.paths.note_failed)
        if self.paths.is_lost(address):
            Deferred.fromCoroutine(self._connect_through_peer(call))
            return call
        call.connector = self._connect(
            address, _DirectConnector(call, self.paths, self.domains)
        )
        return call

    def _connect(self, address, factory):
        host, _, port = address.rpartition(':')
        return self.reactor.connectTCP(
            host, int(port), factory, timeout=CONNECT_SECONDS
        )

    async def _connect_through_peer(self, call):
        opened = await self.paths.tunnels.open(call.address)
        if call.cancelled:
            return
        if opened.result is not OpenResult.OPENED:
            call.fail_connection(f'no path: {opened.result.value}')
            return
        call.connector = self._connect(
            opened.address, _Connector(call, _TunnelConnection(opened.token))
        )

    async def _probe(self, address):
        result = await self.probe_directly(address)
        if result is not ProbeResult.REFUSED or not self.paths.has_peers():
            return result
        opinion = await self.paths.second_opinion(address)
        if opinion is OpenResult.REFUSED:
            return result
        return ProbeResult.UNKNOWN
