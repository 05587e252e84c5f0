"""HTTP client agents: connections to IP addresses, heads of a bounded size."""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from pollenstile.ops.answers import AnswerConnection


class _ConnectionFactory(Factory):
    noisy = False

    def __init__(self, on_idle, metadata):
        self.on_idle = on_idle

    def buildProtocol(self, address):
        """Return the protocol of a connection; called by Twisted."""
        return AnswerConnection(self.on_idle)


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
