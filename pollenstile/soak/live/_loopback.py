"""Loopback address of the live runs of this process."""

import os

_PID_BYTES = 3


def own_loopback(pid):
    """Return the loopback address of the live runs of a process.

    Explanation
    ===========

    Hosts know a crashed upstream's port until its entry lapses. At an address
    that all processes use, another one may listen there by then, and its
    answers would count as those of the run's upstreams and hosts.

    Parameters
    ==========

    pid : int
        Identifier of the process, of three bytes at most.

    Examples
    ========

    >>> from pollenstile.soak.live._loopback import own_loopback
    >>> own_loopback(1)
    '127.1.0.1'
    >>> own_loopback(4194304)
    '127.65.0.0'
    """
    high, middle, low = pid.to_bytes(_PID_BYTES)
    # 127.0.x.x is left to others.
    return f'127.{high + 1}.{middle}.{low}'


LOOPBACK = own_loopback(os.getpid())
