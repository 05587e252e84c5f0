"""Minimal HTTP forwarder, the baseline for the cost of the entry host.

Explanation
===========

The forwarder uses the server and the client of the same library, makes one call
over a connection pool for each request, and forwards received bytes at once. It
makes no routing decisions, validates nothing and keeps no state.
"""

from twisted.internet.protocol import Protocol
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer

# The number of idle connections that the entry host keeps.
_IDLE_CONNECTIONS = 64
_HEADERS = Headers({'content-type': ['application/json']})


class _BodyForwarder(Protocol):
    """Forwards a response body to the caller."""

    def __init__(self, http):
        self.http = http

    def dataReceived(self, data):
        """Forward a part of the body; called by twisted."""
        self.http.write(data)

    def connectionLost(self, reason):
        """Finish the response; called by twisted."""
        self.http.finish()


class Forwarder(Resource):
    """Resource that sends a fixed document upstream for each request.

    Parameters
    ==========

    reactor : IReactorTCP
        Makes connections.
    uri : bytes
        The URI of the upstream.
    document : bytes
        The request body to send.
    """

    isLeaf = True

    def __init__(self, reactor, uri, document):
        super().__init__()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _IDLE_CONNECTIONS
        self.agent = agent_for(reactor, pool)
        self.uri = uri
        self.document = document

    def render_POST(self, request):
        """Forward a request; called by twisted."""
        request.content.read()
        response = self.agent.request(
            b'POST',
            self.uri,
            _HEADERS,
            BytesProducer(self.document),
        )
        response.addCallback(_forward_response, request)
        return NOT_DONE_YET


def _forward_response(response, request):
    request.setResponseCode(response.code)
    response.deliverBody(_BodyForwarder(request))


def forwarder_site(reactor, uri, document):
    """Return a site that forwards each request."""
    forwarder = Forwarder(reactor, uri, document)
    return Site(forwarder, timeout=None, reactor=reactor)
