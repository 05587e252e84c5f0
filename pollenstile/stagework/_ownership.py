"""Ownership of the queues of stage services, in this host's view."""

from pollenstile.stagework._ownerorder import hosts_to_link, owner_order

# Number of live hosts per service that are linked in advance: the owner and its
# successor.
# Each link costs a heartbeat in both directions three times a second.
_LINKED_OWNERS = 2
# Failed dials after which a host counts as dead; one dial may be under way.
_DEAD_AFTER_FAILED_DIALS = 2


class Ownership:
    """Order of the hosts that own each queue, and which of them are reachable.

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
        Cached ownership orders of hosts by service.
    """

    __slots__ = ('capacity', 'host', 'hosts', 'hub', 'orders')

    def __init__(self, host, hub):
        self.host = host
        self.hub = hub
        self.hosts = {}
        self.capacity = 1.0
        self.orders = {}

    def update_hosts(self, hosts):
        """Replace the known peers."""
        self.hosts = hosts
        self.orders = {}

    def order(self, service):
        """Return all hosts in the order of ownership of a service."""
        order = self.orders.get(service)
        if order is None:
            capacities = {
                name: peer.capacity for name, peer in self.hosts.items()
            }
            capacities[self.host] = self.capacity
            order = owner_order(service, capacities)
            self.orders[service] = order
        return order

    def candidates(self, service, *, leaving):
        """Return reachable hosts in the order of ownership of a service.

        Parameters
        ==========

        leaving : bool
            Whether this host accepts no new work while others can.
        """
        reachable = [
            host for host in self.order(service) if self._is_available(host)
        ]
        if leaving and len(reachable) > 1:
            reachable.remove(self.host)
        return reachable

    def first_candidate(self, service, *, leaving):
        """Return the first candidate without checking all hosts.

        Explanation
        ===========

        An owner has links to all hosts and calls this for each group.
        """
        for host in self.order(service):
            is_excluded = leaving and host == self.host
            if not is_excluded and self._is_available(host):
                return host
        return self.host

    def awaits_link(self, service):
        """Return whether the owner of a service may be linked soon."""
        for host in self.order(service):
            if host == self.host:
                return False
            if host in self.hub.links:
                if self._is_available(host):
                    return False
            elif not self._is_dead(host):
                return True
        return False

    def wanted_links(self, services):
        """Return addresses of the owners of services and their successors."""
        wanted = {}
        for service in services:
            wanted.update(self.links_of(self.order(service)))
        return wanted

    def links_of(self, order):
        """Return addresses of the peers in an order to keep links to."""
        hosts = hosts_to_link(order, self._is_dead, _LINKED_OWNERS)
        return {
            host: self.hosts[host].address
            for host in hosts
            if host != self.host
        }

    def _is_available(self, host):
        return host == self.host or self._accepts_work(host)

    def _accepts_work(self, host):
        link = self.hub.links.get(host)
        return link is not None and not link.beat.leaving

    def _is_dead(self, host):
        if host == self.host or host in self.hub.links:
            return False
        address = self.hosts[host].address
        return self.hub.dialer.failures(address) >= _DEAD_AFTER_FAILED_DIALS
