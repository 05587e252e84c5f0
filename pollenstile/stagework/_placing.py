"""Which host owns the queue of a stage service."""

import xxhash


def owner_order(service, hosts):
    """Return hosts in the order in which they are asked to own a queue.

    Explanation
    ===========

    Rendezvous hashing: every host finds the same order from the same names,
    and a host that comes or goes moves only the queues that it owns.

    Examples
    ========

    >>> sorted(owner_order('encode', ['a', 'b'])) == ['a', 'b']
    True
    """

    def weight(host):
        return xxhash.xxh64_intdigest(f'{service}\0{host}'.encode())

    return sorted(hosts, key=weight, reverse=True)
