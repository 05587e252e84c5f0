"""Rendezvous hashing: maps keys to members equally at every host."""

import xxhash


def rendezvous_weight(key, member):
    """Return a member's weight for a key.

    Explanation
    ===========

    Every host computes the same order of the same members. Adding or
    removing a member moves only the keys of that member.

    Examples
    ========

    >>> from pollenstile.ops.rendezvous import rendezvous_weight
    >>> rendezvous_weight('k', 'a') == rendezvous_weight('k', 'a')
    True
    >>> rendezvous_weight('k', 'a') == rendezvous_weight('k', 'b')
    False
    """
    return xxhash.xxh64_intdigest(f'{key}\0{member}'.encode())
