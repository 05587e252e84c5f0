"""Deterministic choice that hosts agree on without talking.

Explanation
===========

Each host ranks the candidates by a hash of the subject and the candidate.
Hosts that know the same candidates choose the same ones, and when a candidate
comes or goes only the subjects that it ranks first for move.

References
==========

Thaler and Ravishankar, A Name-Based Mapping Scheme for Rendezvous, 1996.
"""

import hashlib

_BYTES = 8


def _score(subject, candidate):
    text = f'{subject}\x00{candidate}'.encode()
    return hashlib.blake2b(text, digest_size=_BYTES).digest()


def rank_candidates(subject, candidates, most):
    """Return the first ``most`` candidates of a subject, best first.

    Examples
    ========

    >>> from pollenstile.peer import ranked
    >>> first = ranked('e1', ['a', 'b', 'c'], 2)
    >>> len(first), first == ranked('e1', ['c', 'b', 'a'], 2)
    (2, True)
    """
    ordered = sorted(
        candidates,
        key=lambda one: (_score(subject, one), one),
        reverse=True,
    )
    return ordered[:most]


def place_in_ring(host, hosts):
    """Return the host that follows in the ring of a set of hosts.

    Explanation
    ===========

    The ring is ordered by hash. Together all of its links connect the set.

    Examples
    ========

    >>> from pollenstile.peer import place_in_ring
    >>> hosts = ['a', 'b', 'c']
    >>> sorted(place_in_ring(host, hosts) for host in hosts) == hosts
    True
    """
    ring = sorted({host, *hosts}, key=lambda one: _score('ring', one))
    return ring[(ring.index(host) + 1) % len(ring)]
