"""Order in which hosts own the queue of a stage service."""

import math

from pollenstile.ops.rendezvous import rendezvous_weight


def owner_order(service, capacities):
    """Return hosts in the order of ownership of a queue.

    Explanation
    ===========

    Hosts are ordered by size, in steps of a factor of two, largest first: the
    owner of a queue handles each group of it, at about 1 ms of a core per
    group, and fleets mix hosts of half a core with hosts of two cores. Hosts of
    equal size are ordered by rendezvous hashing: every host computes the same
    order from the same entries, and a host that joins or leaves moves only its
    own queues.

    Parameters
    ==========

    capacities : dict
        Cores by host.

    Examples
    ========

    >>> owner_order('encode', {'a': 0.5, 'b': 2.1, 'c': 0.5})[0]
    'b'
    >>> sorted(owner_order('encode', {'a': 1.0, 'b': 1.0}))
    ['a', 'b']
    """
    largest = max(capacities.values(), default=1.0)

    def rank(host):
        smaller = int(math.log2(largest / capacities[host]))
        return smaller, -rendezvous_weight(service, host)

    return sorted(capacities, key=rank)


def hosts_to_link(order, is_dead, count):
    """Return the hosts of an order to keep links to.

    Explanation
    ===========

    Entries of hosts that lost power stay in the store. With links to the first
    few entries only, a service whose first owners are dead would have no owner,
    and every host would batch on its own. Unreachable hosts are therefore not
    counted. They stay in the result and are dialed with increasing delays.

    Parameters
    ==========

    is_dead : function
        Takes a host, returns whether dialing it has failed.
    count : int
        Number of hosts that are not dead.

    Examples
    ========

    >>> hosts_to_link(['a', 'b', 'c', 'd'], {'a'}.__contains__, 2)
    ['a', 'b', 'c']
    """
    linked = []
    alive = 0
    for host in order:
        linked.append(host)
        alive += not is_dead(host)
        if alive == count:
            break
    return linked
