"""Which peers a host keeps a link to."""

from pollenstile.peer._rendezvous import place_in_ring, rank_candidates

_ALL_WITHIN = 4
_CHOSEN = 2
_GATEWAYS = 3


def neighbours(host, domain, domains):
    """Return the hosts that a host keeps a link to.

    Explanation
    ===========

    In the own domain: the next host of a ring, which connects the domain,
    and two by rendezvous, which make the ways short and survive failures; in
    a small domain all. Between two domains: three links, from the first three
    hosts of each by rendezvous on the pair. So the links of a host stay
    bounded as the fleet grows, and each pair of domains has its own ways.

    Parameters
    ==========

    host, domain : str
        The own.
    domains : dict
        Names of the live hosts of each domain.

    Returns
    =======

    set of str

    Examples
    ========

    >>> from pollenstile.peer import neighbours
    >>> fleet = {'clark': ['a', 'b'], 'batangas': ['c']}
    >>> sorted(neighbours('a', 'clark', fleet))
    ['b', 'c']
    """
    own = [name for name in domains.get(domain, ()) if name != host]
    found = set(own)
    if len(own) > _ALL_WITHIN:
        found = {place_in_ring(host, own)}
        found.update(rank_candidates(f'link/{host}', own, _CHOSEN))
    for other, names in domains.items():
        if other != domain:
            found.update(_across(host, [host, *own], domain, names, other))
    return found


def _across(host, own, domain, names, other):
    pair = '/'.join(sorted([domain, other]))
    near = rank_candidates(pair, own, _GATEWAYS)
    far = rank_candidates(pair, names, _GATEWAYS)
    if not far:
        return []
    width = max(len(near), len(far))
    found = []
    for place in range(width):
        if near[place % len(near)] == host:
            found.append(far[place % len(far)])
    return found
