"""Selection of the peers to which a host keeps links."""

from collections import defaultdict

from pollenstile.peer._rendezvous import next_in_ring, rank_candidates

_MAX_FULL_MESH = 4
_RENDEZVOUS_LINKS = 2
_LINKS_PER_DOMAIN_PAIR = 3


def neighbours(host, domain, domains):
    """Return the hosts to which a host keeps links.

    Explanation
    ===========

    Within its domain a host links to the next host in a ring, which connects
    the domain, and to two hosts chosen by rendezvous hashing, which shorten
    paths and tolerate failures. In a small domain it links to all hosts.

    Two domains are connected by three links, between the first three hosts of
    each by rendezvous hashing on the pair of domains. The number of links of a
    host therefore stays bounded as the fleet grows, and each pair of domains
    has direct links.

    Parameters
    ==========

    host, domain : str
        Name and failure domain of the host.
    domains : dict
        Names of the live hosts, by domain.

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
    own_hosts = [name for name in domains.get(domain, ()) if name != host]
    chosen = set(own_hosts)
    if len(own_hosts) > _MAX_FULL_MESH:
        chosen = {next_in_ring(host, own_hosts)}
        chosen.update(
            rank_candidates(f'link/{host}', own_hosts, _RENDEZVOUS_LINKS)
        )
    for other_domain, other_hosts in domains.items():
        if other_domain != domain:
            chosen.update(
                _links_between_domains(
                    host, [host, *own_hosts], domain, other_hosts, other_domain
                )
            )
    return chosen


def _links_between_domains(host, own_hosts, domain, other_hosts, other_domain):
    pair = '/'.join(sorted([domain, other_domain]))
    near = rank_candidates(pair, own_hosts, _LINKS_PER_DOMAIN_PAIR)
    far = rank_candidates(pair, other_hosts, _LINKS_PER_DOMAIN_PAIR)
    if not far:
        return []
    width = max(len(near), len(far))
    chosen = []
    for position in range(width):
        if near[position % len(near)] == host:
            chosen.append(far[position % len(far)])
    return chosen


def neighbours_of(hello, hosts):
    """Return the hosts to which a host keeps links, from their entries.

    Parameters
    ==========

    hello : Hello
        Names the host and its failure domain.
    hosts : dict
        The other live hosts, with their ``domain``, by name.
    """
    domains = defaultdict(list)
    for name, host in hosts.items():
        domains[host.domain].append(name)
    return neighbours(hello.host, hello.domain, domains)
