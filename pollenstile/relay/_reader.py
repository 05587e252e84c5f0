"""Selection of the host that reads the store for its failure domain."""

from pollenstile.stagework import owner_order

# Key of the rendezvous hashing that orders readers; owners of stage queues are
# ordered by the name of their service.
_ORDER_KEY = 'store reader'


class Readers:
    """Candidate store readers of this host's domain.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    host, domain : str
        Name and domain of this host.
    capacity : float
        CPU cores of this host.

    Attributes
    ==========

    order : list of str
        Hosts by preference; the first reachable one is followed.
    """

    __slots__ = ('capacity', 'domain', 'host', 'hub', 'order')

    def __init__(self, hub, host, domain, capacity):
        self.hub = hub
        self.host = host
        self.domain = domain
        self.capacity = capacity
        self.order = [host]

    def update_hosts(self, hosts):
        """Update the order from the current peers, given by name."""
        capacities = {
            name: peer.capacity
            for name, peer in hosts.items()
            if peer.domain == self.domain
        }
        self.order = owner_order(
            _ORDER_KEY,
            {**capacities, self.host: self.capacity},
        )

    def current(self, is_skipped):
        """Return the host to follow; None if this host reads the store.

        Parameters
        ==========

        is_skipped : function
            Takes a host; returns whether it failed recently.
        """

        def is_available(host):
            return self._is_reachable(host) and not is_skipped(host)

        return select_reader(self.order, self.host, is_available)

    def rank(self):
        """Return how many hosts precede this one in the order."""
        return self.order.index(self.host)

    def _is_reachable(self, host):
        link = self.hub.links.get(host)
        return link is not None and not link.beat.leaving


def select_reader(order, host, is_available):
    """Return the reader that a host follows; None if it reads the store itself.

    Explanation
    ===========

    A host without a link to any reader reads the store itself: it may be cut
    off from its domain, or may have just started.

    Parameters
    ==========

    order : list of str
        Hosts by preference.
    host : str
        The host that selects its reader.
    is_available : function
        Takes the name of a host; returns whether requests can be sent to it.

    Examples
    ========

    >>> select_reader(['a', 'b'], 'c', {'b'}.__contains__)
    'b'
    >>> select_reader(['a', 'b'], 'b', set().__contains__)
    >>> select_reader(['a', 'b'], 'c', set().__contains__)
    """
    for candidate in order:
        if candidate == host:
            return None
        if is_available(candidate):
            return candidate
    return None
