"""Pooled connections to upstreams, closed when one of them falls silent."""

from pollenstile.ops.agents import agent_for, connection_pool


def _ignore_result(result):
    """Ignore that connections are closed."""


class ConnectionPools:
    """One pool of idle connections for each upstream.

    Explanation
    ===========

    A middlebox can drop the state of idle connections while new ones work. A
    call on one of them then hears nothing, and so would each later call on
    another one.

    Parameters
    ==========

    reactor : IReactorTCP
        Opens the connections.
    connect_timeout : float
        Connection timeout in seconds.
    per_host : int
        Maximum number of idle connections kept for each upstream.

    Attributes
    ==========

    pools : dict
        Pool and agent by the address of an upstream.
    """

    __slots__ = ('connect_timeout', 'per_host', 'pools', 'reactor')

    def __init__(self, reactor, connect_timeout=1.0, per_host=64):
        self.reactor = reactor
        self.connect_timeout = connect_timeout
        self.per_host = per_host
        self.pools = {}

    def agent(self, upstream):
        """Return the agent whose connections to an upstream are pooled."""
        entry = self.pools.get(upstream.address)
        if entry is None:
            pool = connection_pool(self.reactor, persistent=True)
            pool.maxPersistentPerHost = self.per_host
            agent = agent_for(self.reactor, pool, self.connect_timeout)
            entry = (pool, agent)
            self.pools[upstream.address] = entry
        return entry[1]

    def close_idle(self, upstream):
        """Close the idle connections to an upstream; calls go on."""
        entry = self.pools.get(upstream.address)
        if entry is not None:
            entry[0].closeCachedConnections().addErrback(_ignore_result)
