"""Letting one host append the claims of many, for larger batches.

Explanation
===========

Nothing rests on who appends: any host may, at any time, and two may believe
that they are the preferred one.
"""

import xxhash


def preferred_host(shard, hosts):
    """Return the host that should append to a shard, by rendezvous hashing.

    Explanation
    ===========

    When a host comes or goes, only the shards that it gains or had move.

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
    """Return a function for ``Claims.forward``.

    Parameters
    ==========

    host : str
        This host.
    live_hosts : function
        Returns the names of hosts that are up, this one among them.
    send : function
        ``await send(owner, record)`` has another host call
        :meth:`~pollenstile.claims.Claims.append_forwarded` and returns what it says,
        or None when no answer came in time.
    """

    async def forward(shard, record):
        owner = preferred_host(shard, live_hosts())
        if owner == host:
            return None
        return await send(owner, record)

    return forward
