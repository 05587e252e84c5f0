"""Ranking of the hosts that may allocate an upstream's rate."""

from pollenstile.ops.rendezvous import rendezvous_weight


class AllocatorRanking:
    """Ranks hosts by rendezvous hashing, those of the upstream's domain first.

    Explanation
    ===========

    Hosts with the same list of hosts compute the same ranking. A domain that
    is partitioned from the others keeps the allocators of its upstreams, which
    the other hosts can not reach then either.

    Parameters
    ==========

    host, domain : str
        Name and failure domain of this host.

    Attributes
    ==========

    peers : dict or None
        Failure domain of each other host by name; None while unknown.
    """

    __slots__ = ('domain', 'host', 'is_leaving', 'orders', 'peers')

    def __init__(self, host, domain, peers=None):
        self.host = host
        self.domain = domain
        self.peers = peers
        self.orders = {}
        self.is_leaving = False

    def leave(self):
        """Rank this host no more, unless there is no other one."""
        self.is_leaving = True
        self.orders = {}

    def update_hosts(self, peers):
        """Set the other hosts; return whether they have changed."""
        if peers == self.peers:
            return False
        self.peers = dict(peers)
        self.orders = {}
        return True

    def keep_only(self, names):
        """Forget the computed orders of incarnations that are over."""
        self.orders = {
            key: order for key, order in self.orders.items() if key[0] in names
        }

    def order(self, name, domain):
        """Return the hosts by rank for an incarnation; empty while unknown.

        Examples
        ========

        >>> from pollenstile.ratelimits import AllocatorRanking
        >>> ranking = AllocatorRanking('a', 'd', {'b': 'e', 'c': 'e'})
        >>> ranking.order('i/1', 'd')[0]
        'a'
        >>> sorted(ranking.order('i/1', 'e')[:2])
        ['b', 'c']
        >>> AllocatorRanking('a', 'd').order('i/1', 'd')
        []
        """
        if self.peers is None:
            return []
        order = self.orders.get((name, domain))
        if order is None:
            domains = dict(self.peers)
            if not (self.is_leaving and domains):
                domains[self.host] = self.domain

            def rank(host):
                is_elsewhere = domains[host] != domain
                return is_elsewhere, rendezvous_weight(name, host)

            order = sorted(domains, key=rank)
            self.orders[name, domain] = order
        return order
