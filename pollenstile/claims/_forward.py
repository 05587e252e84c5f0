"""Forwards appends of claims to one host per shard, for larger batches.

Explanation
===========

Correctness does not depend on which host appends: any host may append at any
time, and two hosts may both consider themselves the preferred one.
"""

import xxhash


def preferred_host(shard, hosts):
    """Return the host that should append to a shard, by rendezvous hashing.

    Explanation
    ===========

    When a host joins or leaves, only the shards assigned to that host move.

    Examples
    ========

    >>> from pollenstile.claims import preferred_host
    >>> hosts = ['h1', 'h2', 'h3']
    >>> owners = [preferred_host(shard, hosts) for shard in range(30)]
    >>> sorted(set(owners))
    ['h1', 'h2', 'h3']
    >>> left = [preferred_host(shard, ['h1', 'h2']) for shard in range(30)]
    >>> moved = [a for a, b in zip(owners, left) if a != b]
    >>> set(moved)
    {'h3'}
    """

    def weight(host):
        return xxhash.xxh64_intdigest(f'{shard}/{host}'.encode())

    return max(hosts, key=weight)


def build_forwarder(host, live_hosts, send):
    """Return a function to be set as ``Claims.forward``.

    Parameters
    ==========

    host : str
        Name of this host.
    live_hosts : function
        Returns the names of the live hosts, including this one.
    send : function
        ``await send(owner, record)`` makes the host ``owner`` call
        :meth:`~pollenstile.claims.Claims.append_forwarded` and returns its
        result, or None if no reply arrived in time.
    """

    async def forward(shard, record):
        owner = preferred_host(shard, live_hosts())
        if owner == host:
            return None
        return await send(owner, record)

    return forward
