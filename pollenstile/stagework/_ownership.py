"""Which hosts own the queues of stage services, as this host sees it."""

from pollenstile.stagework._placing import linked_ahead, owner_order

# Hosts that are linked ahead of need for each service: its owner, and who is
# next. Each link costs a heartbeat in both directions three times a second.
_LINKED_OWNERS = 2
# Times that a host was dialed in vain after which it counts as dead: one dial
# may be under way.
_DEAD_DIALS = 2


class Ownership:
    """Orders of owners, and who of them can be asked.

    Parameters
    ==========

    host : str
        This host's name.
    hub : Hub
        Links to peers.

    Attributes
    ==========

    hosts : dict
        :class:`~pollenstile.forward.PeerHost` of each peer, by name.
    capacity : float
        This host's cores.
    orders : dict
        Hosts in the order in which they own a service, as far as it was asked.
    """

    __slots__ = ('capacity', 'host', 'hosts', 'hub', 'orders')

    def __init__(self, host, hub):
        self.host = host
        self.hub = hub
        self.hosts = {}
        self.capacity = 1.0
        self.orders = {}

    def update_hosts(self, hosts):
        """Take the peers that there are now."""
        self.hosts = hosts
        self.orders = {}

    def order(self, service):
        """Return all hosts in the order in which they own a service."""
        order = self.orders.get(service)
        if order is None:
            capacities = {
                name: one.capacity for name, one in self.hosts.items()
            }
            capacities[self.host] = self.capacity
            order = owner_order(service, capacities)
            self.orders[service] = order
        return order

    def candidates(self, service, *, leaving):
        """Return reachable hosts in the order in which they own a service.

        Parameters
        ==========

        leaving : bool
            Whether this host takes no new work while others can.
        """
        reachable = [
            host for host in self.order(service) if self._is_asked(host)
        ]
        if leaving and len(reachable) > 1:
            reachable.remove(self.host)
        return reachable

    def first(self, service, *, leaving):
        """Return the first of the candidates, without a look at all hosts.

        Explanation
        ===========

        An owner has links to all hosts and asks this for each group.
        """
        for host in self.order(service):
            is_left = leaving and host == self.host
            if not is_left and self._is_asked(host):
                return host
        return self.host

    def wanted_links(self, services):
        """Return addresses of hosts that own services, or would next."""
        wanted = {}
        for service in services:
            wanted.update(self.links_of(self.order(service)))
        return wanted

    def links_of(self, order):
        """Return addresses of the peers of an order to keep links to."""
        ahead = linked_ahead(order, self._is_dead, _LINKED_OWNERS)
        return {
            host: self.hosts[host].address
            for host in ahead
            if host != self.host
        }

    def _is_asked(self, host):
        return host == self.host or self._takes_work(host)

    def _takes_work(self, host):
        link = self.hub.links.get(host)
        return link is not None and not link.beat.leaving

    def _is_dead(self, host):
        if host == self.host or host in self.hub.links:
            return False
        address = self.hosts[host].address
        return self.hub.dialer.failures(address) >= _DEAD_DIALS
