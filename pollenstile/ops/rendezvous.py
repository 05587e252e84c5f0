"""Rendezvous hashing: who of many is meant by a key, the same at every host."""

import xxhash


def rendezvous_weight(key, member):
    """Return a member's weight for a key.

    Explanation
    ===========

    Every host finds the same order of the same members, and one that comes or
    goes moves only what falls to itself.

    Examples
    ========

    >>> from pollenstile.ops.rendezvous import rendezvous_weight
    >>> rendezvous_weight('k', 'a') == rendezvous_weight('k', 'a')
    True
    >>> rendezvous_weight('k', 'a') == rendezvous_weight('k', 'b')
    False
    """
    return xxhash.xxh64_intdigest(f'{key}\0{member}'.encode())
