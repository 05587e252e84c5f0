"""Which host of a failure domain reads the store for the others."""

from pollenstile.stagework import owner_order

# What the order is drawn for; hosts that own queues are drawn by their stage.
_ROLE = 'store reader'


class Readers:
    """The hosts that may read for this host's domain.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    host, domain : str
        This host.
    capacity : float
        Its cores.

    Attributes
    ==========

    order : list of str
        The first one that can be asked is followed.
    """

    __slots__ = ('capacity', 'domain', 'host', 'hub', 'order')

    def __init__(self, hub, host, domain, capacity):
        self.hub = hub
        self.host = host
        self.domain = domain
        self.capacity = capacity
        self.order = [host]

    def update_hosts(self, hosts):
        """Take the peers that there are now, by name."""
        mine = {
            name: one.capacity
            for name, one in hosts.items()
            if one.domain == self.domain
        }
        self.order = owner_order(
            _ROLE,
            {**mine, self.host: self.capacity},
        )

    def current(self, is_skipped):
        """Return whom to follow; None to read the store.

        Parameters
        ==========

        is_skipped : function
            Takes a host; returns whether it failed lately.
        """

        def asked(host):
            return self._is_asked(host) and not is_skipped(host)

        return reader_of(self.order, self.host, asked)

    def rank(self):
        """Return how many hosts would read before this one."""
        return self.order.index(self.host)

    def _is_asked(self, host):
        link = self.hub.links.get(host)
        return link is not None and not link.beat.leaving


def reader_of(order, host, linked):
    """Return whom a host follows; None when it reads the store itself.

    Explanation
    ===========

    A host that is linked to no reader reads for itself: it may be cut off
    from its domain, or just have started.

    Parameters
    ==========

    linked : function
        Takes a host's name, returns whether it can be asked.

    Examples
    ========

    >>> reader_of(['a', 'b'], 'c', {'b'}.__contains__)
    'b'
    >>> reader_of(['a', 'b'], 'b', set().__contains__)
    >>> reader_of(['a', 'b'], 'c', set().__contains__)
    """
    for one in order:
        if one == host:
            return None
        if linked(one):
            return one
    return None
