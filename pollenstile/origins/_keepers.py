"""Selection of the hosts that keep the versions of streams of others.

Explanation
===========

Each failure domain has a few keepers. A host tells one keeper of its own
domain, which others of the domain ask first, and one of another domain, in case
its own is lost as a whole.
"""

from pollenstile.peer import next_in_ring, rank_candidates

_MIN_KEEPERS = 2
# Hosts of a domain for each of its keepers. More keepers receive less each, but
# a host that looks for a stream asks all of them.
_HOSTS_PER_KEEPER = 8


def keepers_by_domain(domains):
    """Return the keepers of each failure domain, in order.

    Parameters
    ==========

    domains : dict
        Failure domain by name of the host.

    Examples
    ========

    >>> from pollenstile.origins import keepers_by_domain
    >>> keepers = keepers_by_domain({f'h{n}': 'd' for n in range(33)})
    >>> len(keepers['d'])
    5
    """
    hosts = {}
    for name, domain in domains.items():
        hosts.setdefault(domain, []).append(name)
    return {
        domain: rank_candidates(
            f'origins/{domain}',
            names,
            max(_MIN_KEEPERS, -(-len(names) // _HOSTS_PER_KEEPER)),
        )
        for domain, names in sorted(hosts.items())
    }


def copy_candidates(host, domain, keepers):
    """Return the keepers that a host tells, in order, for each of two copies.

    Explanation
    ===========

    The first one of each list that answers is told. In a single domain, both
    copies are kept there.

    Parameters
    ==========

    host, domain : str
        Name and failure domain of the host.
    keepers : dict
        Keepers by domain; includes the host's own.

    Examples
    ========

    >>> from pollenstile.origins import copy_candidates
    >>> copy_candidates('a', 'd', {'d': ['a', 'b'], 'e': ['c']})
    (['b'], ['c'])
    """
    near = [name for name in keepers.get(domain, ()) if name != host]
    near = rank_candidates(host, near, len(near))
    if len(keepers) < 2:
        return near[:1], near[1:]
    other = next_in_ring(domain, list(keepers))
    far = keepers[other]
    return near, rank_candidates(host, far, len(far))
