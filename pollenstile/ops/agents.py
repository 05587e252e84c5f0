"""HTTP client agents that connect to IP addresses without name resolution."""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


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
        Pool of idle connections; None closes each after use.
    connect_timeout : float
        In seconds.
    """
    return Agent.usingEndpointFactory(
        reactor,
        _Endpoints(reactor, connect_timeout),
        pool=pool,
    )
