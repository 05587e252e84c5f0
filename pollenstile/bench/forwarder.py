"""A bare forwarder: the floor that the entry host is measured against.

Explanation
===========

The same library's server and client, one pooled call for each request, bytes
passed on as they come. It decides nothing, checks nothing and keeps nothing.
"""

from twisted.internet.protocol import Protocol
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from pollenstile.ops.agents import agent_for
from pollenstile.ops.body import BytesProducer

# As many idle connections as the entry host keeps.
_PER_HOST = 64
_HEADERS = Headers({'content-type': ['application/json']})


class _Pipe(Protocol):
    """Passes a body on."""

    def __init__(self, http):
        self.http = http

    def dataReceived(self, data):
        """Pass a part on; called by twisted."""
        self.http.write(data)

    def connectionLost(self, reason):
        """Finish; called by twisted."""
        self.http.finish()


class Forwarder(Resource):
    """Sends one fixed document upstream for each request.

    Parameters
    ==========

    reactor : IReactorTCP
        Makes connections.
    uri : bytes
        Where to.
    document : bytes
        What to send.
    """

    isLeaf = True

    def __init__(self, reactor, uri, document):
        super().__init__()
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _PER_HOST
        self.agent = agent_for(reactor, pool)
        self.uri = uri
        self.document = document

    def render_POST(self, request):
        """Forward; called by twisted."""
        request.content.read()
        response = self.agent.request(
            b'POST',
            self.uri,
            _HEADERS,
            BytesProducer(self.document),
        )
        response.addCallback(_passed_on, request)
        return NOT_DONE_YET


def _passed_on(response, request):
    request.setResponseCode(response.code)
    response.deliverBody(_Pipe(request))


def forwarder_site(reactor, uri, document):
    """Return a site that forwards each request."""
    forwarder = Forwarder(reactor, uri, document)
    return Site(forwarder, timeout=None, reactor=reactor)
