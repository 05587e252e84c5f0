"""Cache affinity: maps prompt prefixes to preferred upstreams."""

import msgspec
import xxhash

# Leading bytes of the encoded input that count as the prompt's prefix.
_PREFIX_BYTES = 256


def cache_key(team, model, content):
    """Return a key that calls with the same prompt prefix share.

    Parameters
    ==========

    team, model : str
        Prefixes are shared within a team and a model.
    content : object
        Input of the request, as JSON types.

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
    """Return an upstream's score for a key; the highest is preferred.

    Explanation
    ===========

    Rendezvous hashing gives all hosts the same order without coordination, and
    the removal of an upstream moves only the keys that preferred it.
    """
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)
