"""Which host owns the queue of a stage service."""

import math

from pollenstile.ops.rendezvous import rendezvous_weight


def owner_order(service, capacities):
    """Return hosts in the order in which they are asked to own a queue.

    Explanation
    ===========

    The largest hosts go first, in steps of two: the owner of a queue handles
    each group of it, about 1 ms of a core a group, and hosts with half a core
    stand beside such with two. Among equals, rendezvous hashing: every host
    finds the same order from the same entries, and a host that comes or goes
    moves only the queues that it owns.

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
    most = max(capacities.values(), default=1.0)

    def rank(host):
        smaller = int(math.log2(most / capacities[host]))
        return smaller, -rendezvous_weight(service, host)

    return sorted(capacities, key=rank)


def linked_ahead(order, is_dead, count):
    """Return the hosts of an order to keep links to.

    Explanation
    ===========

    Entries of hosts that lost power stay in the store. With links to the first
    few entries only, a service whose first owners are dead would have none,
    and every host would batch alone. So those that can't be reached are passed
    over; they are dialed all the same, more and more rarely.

    Parameters
    ==========

    is_dead : function
        Takes a host, returns whether dialing it has failed.
    count : int
        Hosts that are not dead.

    Examples
    ========

    >>> linked_ahead(['a', 'b', 'c', 'd'], {'a'}.__contains__, 2)
    ['a', 'b', 'c']
    """
    found = []
    alive = 0
    for host in order:
        found.append(host)
        alive += not is_dead(host)
        if alive == count:
            break
    return found
