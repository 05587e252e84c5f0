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

from twisted.internet.defer import Deferred
from twisted.web._newclient import Request
from twisted.web.http_headers import Headers

from pollenstile.closes import CloseChecks, ProbeFactory, ProbeResult
from pollenstile.forward._call import Call
from pollenstile.ops.connecting import connect_in_time
from pollenstile.forward._connection import (
    Connector,
    DirectConnector,
    TunnelConnection,
)
from pollenstile.ops.body import BytesProducer
from pollenstile.reachability import ALL_REACHABLE
from pollenstile.tunnel import DIRECT_PATHS, OpenResult

# Timeout of the TCP handshake, which normally takes under 10 ms. An unreachable
# upstream never answers, and TCP retransmits a lost packet only after a second.
# No request has been sent by then, so another upstream can be tried.
_CONNECT_SECONDS = 0.35


class HttpClient:
    """Sends requests to upstreams.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens connections.

    Attributes
    ==========

    paths : Paths
        Knows which upstreams are reached through peers only.
    domains : DomainReachability
        Knows which failure domains are unreachable.
    closes : CloseChecks
        Tells whether upstreams live on after they have closed a connection.
    """

    __slots__ = ('closes', 'domains', 'paths', 'reactor')

    def __init__(self, reactor):
        self.reactor = reactor
        self.paths = DIRECT_PATHS
        self.domains = ALL_REACHABLE
        self.closes = CloseChecks(reactor)

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
        factory = ProbeFactory()
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
            address,
            DirectConnector(call, self.paths, self.domains, self.closes),
        )
        return call

    def _connect(self, address, factory):
        return connect_in_time(self.reactor, address, factory, _CONNECT_SECONDS)

    async def _connect_through_peer(self, call):
        opened = await self.paths.tunnels.open(call.address)
        if call.cancelled:
            return
        if opened.result is not OpenResult.OPENED:
            call.fail_connection(f'no path: {opened.result.value}')
            return
        call.connector = self._connect(
            opened.address, Connector(call, TunnelConnection(opened))
        )

    async def _probe(self, address):
        result = await self.probe_directly(address)
        if result is not ProbeResult.REFUSED or not self.paths.has_peers():
            return result
        opinion = await self.paths.second_opinion(address)
        if opinion is OpenResult.REFUSED:
            return result
        return ProbeResult.UNKNOWN
