"""HTTP client agents that connect to IP numbers."""

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Endpoints without name resolution.

    Explanation
    ===========

    The library's default resolves names in threads, even of IP numbers. All
    addresses here are IP numbers, and there is one loop on one thread.
    """

    __slots__ = ('connect_timeout', 'reactor')

    def __init__(self, reactor, connect_timeout):
        self.reactor = reactor
        self.connect_timeout = connect_timeout

    def endpointForURI(self, uri):
        """Return the endpoint of an address; called by twisted."""
        host = uri.host.decode('ascii').strip('[]')
        kind = TCP6ClientEndpoint if ':' in host else TCP4ClientEndpoint
        return kind(
            self.reactor,
            host,
            uri.port,
            timeout=self.connect_timeout,
        )


def agent_for(reactor, pool=None, connect_timeout=1.0):
    """Return an agent whose addresses are IP numbers.

    Parameters
    ==========

    reactor : IReactorTCP
        Makes the connections.
    pool : twisted.web.client.HTTPConnectionPool or None
        Keeps idle connections; None keeps none.
    connect_timeout : float
        In seconds.
    """
    return Agent.usingEndpointFactory(
        reactor,
        _Endpoints(reactor, connect_timeout),
        pool=pool,
    )
