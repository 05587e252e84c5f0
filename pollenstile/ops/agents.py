"""HTTP client agents: connections to IP addresses, heads of a bounded size."""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from pollenstile.ops.documents import TooLongError

# Size of the longest head of an answer, with the interim heads before it.
_MAX_HEAD_BYTES = 65536
# States of the library's parser before the end of a head.
_HEAD_STATES = ('STATUS', 'HEADER')


class _Connection(HTTP11ClientProtocol):
    """Ends an answer whose head is too long with :class:`TooLongError`."""

    def __init__(self, on_idle):
        super().__init__(on_idle)
        self.head_bytes = 0

    def request(self, request):
        """Send a request; called by Twisted."""
        self.head_bytes = 0
        answer = super().request(request)
        if self._transportProxy is not None:
            # Readers of bodies get this proxy, which can't abort by itself.
            self._transportProxy.abortConnection = (
                self.transport.abortConnection
            )
        return answer

    def dataReceived(self, data):
        """Parse received bytes; called by Twisted."""
        super().dataReceived(data)
        if self._parser is None or self._parser.state not in _HEAD_STATES:
            return
        self.head_bytes += len(data)
        if self.head_bytes > _MAX_HEAD_BYTES:
            self.transport.abortConnection()
            self._disconnectParser(
                Failure(TooLongError(f'a head over {_MAX_HEAD_BYTES} bytes'))
            )


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, on_idle, metadata):
        self.on_idle = on_idle

    def buildProtocol(self, address):
        """Return the protocol of a connection; called by Twisted."""
        return _Connection(self.on_idle)


class _Pool(HTTPConnectionPool):
    _factory = _ConnectionFactory
    retryAutomatically = False


def connection_pool(reactor, *, persistent):
    """Return a pool of connections on which heads are bounded.

    Explanation
    ===========

    The library's retry is disabled, as it repeats requests without a decision.

    Parameters
    ==========

    persistent : bool
        Whether connections are kept for further requests.
    """
    return _Pool(reactor, persistent=persistent)


def is_too_long(failure):
    """Return whether a request has failed since its answer is too long."""
    if failure.check(ResponseFailed):
        return any(
            reason.check(TooLongError) for reason in failure.value.reasons
        )
    return failure.check(TooLongError) is not None


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Endpoint factory without name resolution.

    Explanation
    ===========

    The library's default factory resolves names in threads, even for IP
    addresses. All addresses here are IP addresses, and the process runs one
    event loop on one thread.
    """

    __slots__ = ('connect_timeout', 'reactor')

    def __init__(self, reactor, connect_timeout):
        self.reactor = reactor
        self.connect_timeout = connect_timeout

    def endpointForURI(self, uri):
        """Return the endpoint of a URI; called by twisted."""
        host = uri.host.decode('ascii').strip('[]')
        kind = TCP6ClientEndpoint if ':' in host else TCP4ClientEndpoint
        return kind(
            self.reactor,
            host,
            uri.port,
            timeout=self.connect_timeout,
        )


def agent_for(reactor, pool=None, connect_timeout=1.0):
    """Return an HTTP agent for URIs whose hosts are IP addresses.

    Parameters
    ==========

    reactor : IReactorTCP
        Opens the connections.
    pool : twisted.web.client.HTTPConnectionPool or None
        From :func:`connection_pool`; None closes each connection after use.
    connect_timeout : float
        In seconds.
    """
    return Agent.usingEndpointFactory(
        reactor,
        _Endpoints(reactor, connect_timeout),
        pool=pool or connection_pool(reactor, persistent=False),
    )
