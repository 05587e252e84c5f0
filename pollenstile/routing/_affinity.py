"""Which upstream is likely to have a prompt's prefix cached."""

import msgspec
import xxhash

_PREFIX_BYTES = 256


def cache_key(team, model, content):
    """Return what calls with the same prompt prefix have in common.

    Parameters
    ==========

    team, model : str
        Prefixes are shared within a team and a model.
    content : object
        The request's input, of JSON's types.

    Examples
    ========

    >>> from pollenstile.routing import cache_key
    >>> cache_key('a', 'm', 'leak') == cache_key('a', 'm', 'leak')
    True
    >>> cache_key('a', 'm', 'leak') == cache_key('b', 'm', 'leak')
    False
    """
    prefix = msgspec.json.encode(content)[:_PREFIX_BYTES]
    return xxhash.xxh3_64_intdigest(
        b'\0'.join((team.encode(), model.encode(), prefix)),
    )


def affinity(key, name):
    """Return an upstream's rank for a key; the highest is preferred.

    Explanation
    ===========

    Rendezvous hashing: every host finds the same order without talking, and
    an upstream that goes moves only the keys that it had.
    """
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)
