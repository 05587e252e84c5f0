"""Rendezvous hashing: deterministic choice without coordination.

Explanation
===========

Each host ranks the candidates by a hash of the subject and the candidate.
Hosts that know the same candidates choose the same ones. When a candidate is
added or removed, only the subjects for which it ranks first are reassigned.

References
==========

Thaler and Ravishankar, A Name-Based Mapping Scheme for Rendezvous, 1996.
"""

import hashlib

_SCORE_BYTES = 8


def _score(subject, candidate):
    text = f'{subject}\x00{candidate}'.encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()


def place_of(host, subject, hosts):
    """Return a host's place among those that act for a subject in turn, from 0.

    Examples
    ========

    >>> from pollenstile.peer import place_of
    >>> sorted(place_of(host, 'e1', ['a', 'b', 'c']) for host in 'abc')
    [0, 1, 2]
    """
    return rank_candidates(subject, hosts, len(hosts)).index(host)


def rank_candidates(subject, candidates, most):
    """Return the ``most`` highest-ranked candidates of a subject, in order.

    Examples
    ========

    >>> from pollenstile.peer import rank_candidates
    >>> first = rank_candidates('e1', ['a', 'b', 'c'], 2)
    >>> len(first), first == rank_candidates('e1', ['c', 'b', 'a'], 2)
    (2, True)
    """
    ordered = sorted(
        candidates,
        key=lambda name: (_score(subject, name), name),
        reverse=True,
    )
    return ordered[:most]


def next_in_ring(host, hosts):
    """Return the successor of a host in the ring of a set of hosts.

    Explanation
    ===========

    The ring is ordered by hash. Links to the successors connect all hosts.

    Examples
    ========

    >>> from pollenstile.peer import next_in_ring
    >>> hosts = ['a', 'b', 'c']
    >>> sorted(next_in_ring(host, hosts) for host in hosts) == hosts
    True
    """
    ring = sorted({host, *hosts}, key=lambda name: _score('ring', name))
    return ring[(ring.index(host) + 1) % len(ring)]
